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

// Manifest names one version of the bundle.
type Manifest struct {
	Version uint64 `json:"version"`
	// Parent is the version that was the head when this one was created.
	Parent uint64 `json:"parent"`
	Digest Digest `json:"digest"`
}

// Approval is a signature over a manifest.
type Approval struct {
	KeyID     string `json:"key_id"`
	Signature []byte `json:"signature"`
}

// Signed is a bundle, or one scope of it, with what proves that it was approved.
type Signed struct {
	Manifest Manifest `json:"manifest"`
	Approval Approval `json:"approval"`
	Content  Content  `json:"content"`
}

// ErrApproval: a signature is missing, unknown or wrong.
var ErrApproval = errors.New("approval does not check out")

// keyIDBytes is how many bytes of the public key's digest make its ID.
const keyIDBytes = 4

// signedText is what an approval signs: never the same bytes for two clusters, two
// versions or two contents.
func signedText(clusterID string, m Manifest) []byte {
	return fmt.Appendf(nil, "bramblelift approval 1\ncluster %q\nversion %d\nparent %d\ndigest %s\n",
		clusterID, m.Version, m.Parent, m.Digest)
}

// KeyID derives the ID of a public key.
func KeyID(key ed25519.PublicKey) string {
	sum := sha256.Sum256(key)
	return hex.EncodeToString(sum[:keyIDBytes])
}

// Sign approves a manifest.
func Sign(key ed25519.PrivateKey, clusterID string, m Manifest) Approval {
	public := key.Public().(ed25519.PublicKey)
	return Approval{KeyID: KeyID(public), Signature: ed25519.Sign(key, signedText(clusterID, m))}
}

// Verifier checks approvals against the accepted keys.
type Verifier struct {
	clusterID string
	keys      map[string]ed25519.PublicKey
	// byPublication accepts PublicationKeyID, too.
	byPublication bool
}

// PublicationKeyID is the key ID of versions whose publication by an operator is the
// sign-off. It cannot be the ID of a key.
const PublicationKeyID = "publication"

// PublicationApproval is the approval of a version that was published in one act.
func PublicationApproval() Approval { return Approval{KeyID: PublicationKeyID} }

// AcceptPublication makes the verifier accept versions that were published in one act,
// without a signature. Only deployments whose operators cannot sign set it.
func (v *Verifier) AcceptPublication() { v.byPublication = true }

// NewVerifier accepts approvals by any of the keys, each base64 text. More than one
// may be accepted while a key is being changed.
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

// Verify checks that an accepted key approved the manifest.
func (v *Verifier) Verify(m Manifest, a Approval) error {
	if v.byPublication && a.KeyID == PublicationKeyID {
		return nil
	}
	key, known := v.keys[a.KeyID]
	if !known {
		return fmt.Errorf("version %d: key %q is not accepted: %w", m.Version, a.KeyID, ErrApproval)
	}
	if !ed25519.Verify(key, signedText(v.clusterID, m), a.Signature) {
		return fmt.Errorf("version %d: signature by key %s is wrong: %w", m.Version, a.KeyID, ErrApproval)
	}
	return nil
}

const (
	keyFileMode    = 0o600
	keyFileOthers  = 0o077
	publicSuffix   = ".pub"
	publicFileMode = 0o644
)

// GenerateKeyFile makes a key pair: the private key in path, the public one beside
// it. It does not overwrite.
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
	if err := os.WriteFile(path+publicSuffix, []byte(publicKey+"\n"), publicFileMode); err != nil {
		return "", fmt.Errorf("write public key file: %w", err)
	}
	return publicKey, nil
}

// LoadKeyFile reads a private key. A file that others can read is refused.
func LoadKeyFile(path string) (ed25519.PrivateKey, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("read key file: %w", err)
	}
	if info.Mode()&fs.FileMode(keyFileOthers) != 0 {
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
