package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
)

// Digest is a SHA-256 sum.
type Digest [sha256.Size]byte

// shortDigestBytes is the number of bytes in the short form of a digest.
const shortDigestBytes = 6

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Short returns the first 12 hexadecimal digits, for display.
func (d Digest) Short() string { return hex.EncodeToString(d[:shortDigestBytes]) }

// MarshalBinary implements encoding.BinaryMarshaler. Without it gob would need up to two bytes for each
// byte of the array.
func (d Digest) MarshalBinary() ([]byte, error) { return d[:], nil }

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (d *Digest) UnmarshalBinary(data []byte) error {
	if len(data) != len(d) {
		return fmt.Errorf("digest of %d bytes, expected %d", len(data), len(d))
	}
	copy(d[:], data)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	decoded, err := hex.DecodeString(string(text))
	if err != nil || len(decoded) != len(d) {
		return fmt.Errorf("digest must be %d hexadecimal bytes", len(d))
	}
	copy(d[:], decoded)
	return nil
}

// ShortDigest returns a short digest of the secret's name and value, which does not reveal the value.
func (s Secret) ShortDigest() string {
	return Digest(sha256.Sum256([]byte("secret\x00" + s.Name + "\x00" + s.Value))).Short()
}

// ErrDigest: a content does not match the approved digest.
var ErrDigest = errors.New("content does not match the approved digest")

// Domain separation: the first byte of the hashed data differs for leaves, inner nodes and items.
const (
	legacyLeafPrefix = 0
	nodePrefix       = 1
	leafPrefix       = 2
	itemPrefix       = 3
)

// Step is one level of a proof: the digest of the sibling, and whether the sibling is on the left.
type Step struct {
	Sibling Digest
	Left    bool
}

// Proof is a Merkle proof: the steps from the leaf of one scope up to the root, which is the digest of
// the bundle.
type Proof []Step

// Tree is the Merkle tree of a content, with one leaf for each scope.
type Tree struct {
	scopes []string
	// levels holds the digests of each level, from the leaves to the root.
	levels [][]Digest
}

// NewTree returns the tree of a normalized content.
func NewTree(c Content) (*Tree, error) { return NewHasher().Tree(c) }

// newTree builds the tree of a content, with leaves computed by leafFunc.
func newTree(c Content, leafFunc func(scope string, scoped Content) (Digest, error)) (*Tree, error) {
	scopes := append(c.Groups(), ScopeAll)
	slices.Sort(scopes)
	leaves := make([]Digest, len(scopes))
	for i, scope := range scopes {
		leaf, err := leafFunc(scope, c.Scope(scope))
		if err != nil {
			return nil, err
		}
		leaves[i] = leaf
	}
	t := &Tree{scopes: scopes, levels: [][]Digest{leaves}}
	for level := leaves; len(level) > 1; {
		level = parentLevel(level)
		t.levels = append(t.levels, level)
	}
	return t, nil
}

// Root returns the digest of the bundle.
func (t *Tree) Root() Digest { return t.levels[len(t.levels)-1][0] }

// Proof returns the proof of a scope, and false if the tree has no such scope.
func (t *Tree) Proof(scope string) (Proof, bool) {
	index, found := slices.BinarySearch(t.scopes, scope)
	if !found {
		return nil, false
	}
	var proof Proof
	for _, level := range t.levels[:len(t.levels)-1] {
		sibling := index ^ 1
		if sibling < len(level) {
			proof = append(proof, Step{Sibling: level[sibling], Left: sibling < index})
		}
		index /= 2
	}
	return proof, true
}

// Check verifies that the content of a scope belongs to the bundle with the given root. Otherwise the
// error wraps ErrDigest.
func (p Proof) Check(scope string, scoped Content, root Digest) error {
	return NewHasher().Check(p, scope, scoped, root)
}

// root returns the root that the proof computes from a leaf.
func (p Proof) root(leaf Digest) Digest {
	current := leaf
	for _, step := range p {
		if step.Left {
			current = nodeDigest(step.Sibling, current)
		} else {
			current = nodeDigest(current, step.Sibling)
		}
	}
	return current
}

func parentLevel(level []Digest) []Digest {
	parents := make([]Digest, 0, (len(level)+1)/2)
	for i := 0; i < len(level); i += 2 {
		if i+1 == len(level) {
			parents = append(parents, level[i])
			continue
		}
		parents = append(parents, nodeDigest(level[i], level[i+1]))
	}
	return parents
}

func nodeDigest(left, right Digest) Digest {
	data := append([]byte{nodePrefix}, left[:]...)
	return sha256.Sum256(append(data, right[:]...))
}
