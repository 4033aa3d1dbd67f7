package bundle

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"
)

// Manifest identifies one version of the bundle.
type Manifest struct {
	Version uint64 `json:"version"`
	// Parent is the number of the version that was the head when this one was created, zero for the
	// first.
	Parent uint64 `json:"parent"`
	Digest Digest `json:"digest"`
}

// Approval is a signature over a manifest, or PublicationApproval.
type Approval struct {
	KeyID     string `json:"key_id"`
	Signature []byte `json:"signature"`
}

// Signed is a bundle, or one scope of it, with its manifest and approval.
type Signed struct {
	Manifest Manifest `json:"manifest"`
	Approval Approval `json:"approval"`
	Content  Content  `json:"content"`
}

// ErrApproval: the signature is wrong, or its key is not accepted.
var ErrApproval = errors.New("approval does not check out")

// keyIDBytes is the number of bytes of the public key's SHA-256 digest that form the key ID.
const keyIDBytes = 4

// signedMessage returns the message that an approval signs. It differs for any two clusters, versions
// or contents.
func signedMessage(clusterID string, m Manifest) []byte {
	return fmt.Appendf(nil, "bramblelift approval 1\ncluster %q\nversion %d\nparent %d\ndigest %s\n",
		clusterID, m.Version, m.Parent, m.Digest)
}

// KeyID returns the ID of a public key: the first bytes of its SHA-256 digest in hexadecimal.
func KeyID(key ed25519.PublicKey) string {
	sum := sha256.Sum256(key)
	return hex.EncodeToString(sum[:keyIDBytes])
}

// Sign returns the approval of a manifest by a key, valid in one cluster.
func Sign(key ed25519.PrivateKey, clusterID string, m Manifest) Approval {
	public := key.Public().(ed25519.PublicKey)
	return Approval{KeyID: KeyID(public), Signature: ed25519.Sign(key, signedMessage(clusterID, m))}
}

// Verifier verifies approvals against the accepted public keys of a cluster.
type Verifier struct {
	clusterID string
	keys      map[string]ed25519.PublicKey
	// allowPublication accepts approvals with PublicationKeyID.
	allowPublication bool
}

// PublicationKeyID is the key ID of versions that were published without a signature. It cannot be the
// ID of a key, which is hexadecimal.
const PublicationKeyID = "publication"

// PublicationApproval returns the approval of a published version, which has no signature.
func PublicationApproval() Approval { return Approval{KeyID: PublicationKeyID} }

// AcceptPublication makes the verifier accept published versions, which have no signature. It is meant
// for deployments whose operators cannot sign.
func (v *Verifier) AcceptPublication() { v.allowPublication = true }

// NewVerifier returns a verifier that accepts approvals by any of the Ed25519 public keys, given in
// base64. Several keys allow for a key rotation.
func NewVerifier(clusterID string, keys []string) (*Verifier, error) {
	v := &Verifier{clusterID: clusterID, keys: map[string]ed25519.PublicKey{}}
	for _, text := range keys {
		raw, err := base64.StdEncoding.DecodeString(text)
		if err != nil || len(raw) != ed25519.PublicKeySize {
			return nil, fmt.Errorf("approval key %q is not a base64 Ed25519 public key", text)
		}
		v.keys[KeyID(raw)] = raw
	}
	return v, nil
}

// Verify checks that an accepted key signed the manifest. Otherwise the error wraps ErrApproval.
func (v *Verifier) Verify(m Manifest, a Approval) error {
	if v.allowPublication && a.KeyID == PublicationKeyID {
		return nil
	}
	key, known := v.keys[a.KeyID]
	if !known {
		return fmt.Errorf("version %d: key %q is not accepted: %w", m.Version, a.KeyID, ErrApproval)
	}
	if !ed25519.Verify(key, signedMessage(v.clusterID, m), a.Signature) {
		return fmt.Errorf("version %d: signature by key %s is wrong: %w", m.Version, a.KeyID, ErrApproval)
	}
	return nil
}

const (
	keyFileMode          = 0o600
	keyFileForbiddenMode = 0o077
	publicKeySuffix      = ".pub"
	publicKeyFileMode    = 0o644
)

// GenerateKeyFile generates an Ed25519 key pair. It writes the private key to path, which must not
// exist, and the public key to path with the suffix ".pub", and returns the public key in base64.
func GenerateKeyFile(path string) (publicKey string, err error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return "", fmt.Errorf("generate key: %w", err)
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, keyFileMode)
	if err != nil {
		return "", fmt.Errorf("create key file: %w", err)
	}
	defer file.Close()
	if _, err := fmt.Fprintln(file, base64.StdEncoding.EncodeToString(private.Seed())); err != nil {
		return "", fmt.Errorf("write key file: %w", err)
	}
	if err := file.Sync(); err != nil {
		return "", fmt.Errorf("sync key file: %w", err)
	}
	publicKey = base64.StdEncoding.EncodeToString(public)
	if err := os.WriteFile(path+publicKeySuffix, []byte(publicKey+"\n"), publicKeyFileMode); err != nil {
		return "", fmt.Errorf("write public key file: %w", err)
	}
	return publicKey, nil
}

// LoadKeyFile reads a private key that GenerateKeyFile wrote. It is an error if the file is accessible
// to other users.
func LoadKeyFile(path string) (ed25519.PrivateKey, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("read key file: %w", err)
	}
	if info.Mode()&fs.FileMode(keyFileForbiddenMode) != 0 {
		return nil, fmt.Errorf("key file %s has mode %o: it must not be open to others", path, info.Mode().Perm())
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read key file: %w", err)
	}
	seed, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, fmt.Errorf("key file %s does not hold a base64 Ed25519 seed", path)
	}
	return ed25519.NewKeyFromSeed(seed), nil
}
