package bundle

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash"
)

// Hasher computes digests of contents. It caches the digests of routes, services, secrets and tenants,
// so that only those of changed items are computed, because consecutive bundles differ little. Use
// NewHasher to create one. It is not safe for concurrent use.
type Hasher struct {
	routes   *digestCache[Route]
	services *digestCache[Service]
	secrets  *digestCache[Secret]
	tenants  *digestCache[Tenant]
}

// NewHasher returns a hasher with empty caches.
func NewHasher() *Hasher {
	return &Hasher{
		routes:   newDigestCache("route", routeName, (*Route).equal, (*Route).clone),
		services: newDigestCache("service", serviceName, (*Service).equal, (*Service).clone),
		secrets:  newDigestCache("secret", secretName, (*Secret).equal, (*Secret).clone),
		tenants:  newDigestCache("tenant", tenantName, (*Tenant).equal, (*Tenant).clone),
	}
}

// Tree returns the tree of a normalized content.
func (h *Hasher) Tree(c Content) (*Tree, error) {
	defer h.resetLastLists()
	return newTree(c, h.leaf)
}

// resetLastLists drops the references to the lists of the present call, which the caller may modify
// afterwards.
func (h *Hasher) resetLastLists() {
	h.routes.lastList, h.services.lastList, h.secrets.lastList, h.tenants.lastList = nil, nil, nil, nil
}

// TreeFor returns the tree of a normalized content in the format, current or legacy, that has the given
// root. If neither has it, the error wraps ErrDigest.
func (h *Hasher) TreeFor(c Content, root Digest) (*Tree, error) {
	defer h.resetLastLists()
	for _, leafFunc := range []func(string, Content) (Digest, error){h.leaf, legacyLeaf} {
		t, err := newTree(c, leafFunc)
		if err != nil {
			return nil, err
		}
		if t.Root() == root {
			return t, nil
		}
	}
	return nil, fmt.Errorf("digest %s: %w", root.Short(), ErrDigest)
}

// Check verifies that the content of a scope belongs to the bundle with the given root, in the current
// or the legacy format. Otherwise the error wraps ErrDigest.
func (h *Hasher) Check(p Proof, scope string, scoped Content, root Digest) error {
	defer h.resetLastLists()
	for _, leafFunc := range []func(string, Content) (Digest, error){h.leaf, legacyLeaf} {
		leaf, err := leafFunc(scope, scoped)
		if err != nil {
			return err
		}
		if p.root(leaf) == root {
			return nil
		}
	}
	return fmt.Errorf("scope %q: %w", scope, ErrDigest)
}

// leafHead is the part of a leaf that is hashed before the digests of the lists.
type leafHead struct {
	Scope    string
	HandBack bool
	Limits   Limits
}

// leaf returns the digest of a scope's leaf: the hash of its leafHead as JSON and of the digests of its
// lists.
func (h *Hasher) leaf(scope string, scoped Content) (Digest, error) {
	head, err := json.Marshal(leafHead{Scope: scope, HandBack: scoped.HandBack, Limits: scoped.Limits})
	if err != nil {
		return Digest{}, fmt.Errorf("digest of scope %q: %w", scope, err)
	}
	sum := sha256.New()
	sum.Write([]byte{leafPrefix})
	writeCount(sum, len(head))
	sum.Write(head)
	if err := h.routes.write(sum, scoped.Routes); err != nil {
		return Digest{}, err
	}
	if err := h.services.write(sum, scoped.Services); err != nil {
		return Digest{}, err
	}
	if err := h.secrets.write(sum, scoped.Secrets); err != nil {
		return Digest{}, err
	}
	// Without tenants the digest equals that of programs that do not support tenants.
	if len(scoped.Tenants) > 0 {
		if err := h.tenants.write(sum, scoped.Tenants); err != nil {
			return Digest{}, err
		}
	}
	return Digest(sum.Sum(nil)), nil
}

func writeCount(sum hash.Hash, n int) {
	sum.Write(binary.BigEndian.AppendUint64(nil, uint64(n)))
}

// legacyLeaf returns the leaf in the legacy format, which hashes the complete content as one JSON
// document. Stored bundles may have such digests.
func legacyLeaf(scope string, scoped Content) (Digest, error) {
	content, err := json.Marshal(scoped)
	if err != nil {
		return Digest{}, fmt.Errorf("digest of scope %q: %w", scope, err)
	}
	name, err := json.Marshal(scope)
	if err != nil {
		return Digest{}, fmt.Errorf("digest of scope %q: %w", scope, err)
	}
	data := append([]byte{legacyLeafPrefix}, name...)
	return sha256.Sum256(append(data, content...)), nil
}

// digestCache caches the digests of the items of one kind by name.
type digestCache[T any] struct {
	kind    string
	name    func(T) string
	equal   func(a, b *T) bool
	clone   func(*T) T
	entries map[string]*cachedDigest[T]
	// lastList is the list whose digest was computed last in the present call of the Hasher.
	lastList   []T
	lastDigest Digest
}

type cachedDigest[T any] struct {
	item   T
	digest Digest
}

func newDigestCache[T any](kind string, name func(T) string, equal func(a, b *T) bool, clone func(*T) T) *digestCache[T] {
	return &digestCache[T]{kind: kind, name: name, equal: equal, clone: clone, entries: map[string]*cachedDigest[T]{}}
}

// write writes the digest of a list to sum.
func (c *digestCache[T]) write(sum hash.Hash, items []T) error {
	if !c.isLastList(items) {
		d, err := c.list(items)
		if err != nil {
			return err
		}
		c.lastList, c.lastDigest = items, d
	}
	sum.Write(c.lastDigest[:])
	return nil
}

// isLastList reports whether items is the same slice as lastList, as the scopes of one content share
// most lists. The slice must not be modified during a call of the Hasher.
func (c *digestCache[T]) isLastList(items []T) bool {
	return len(items) > 0 && len(items) == len(c.lastList) && &items[0] == &c.lastList[0]
}

// list returns the digest of a list: the hash of its length and its items' digests.
func (c *digestCache[T]) list(items []T) (Digest, error) {
	sum := sha256.New()
	writeCount(sum, len(items))
	for i := range items {
		d, err := c.digest(&items[i])
		if err != nil {
			return Digest{}, err
		}
		sum.Write(d[:])
	}
	c.prune(items)
	return Digest(sum.Sum(nil)), nil
}

// digest returns the digest of an item, from the cache if the item has not changed.
func (c *digestCache[T]) digest(item *T) (Digest, error) {
	name := c.name(*item)
	if entry, found := c.entries[name]; found && c.equal(&entry.item, item) {
		return entry.digest, nil
	}
	text, err := json.Marshal(item)
	if err != nil {
		return Digest{}, fmt.Errorf("digest of %s %q: %w", c.kind, name, err)
	}
	data := append([]byte{itemPrefix}, c.kind...)
	d := Digest(sha256.Sum256(append(data, text...)))
	c.entries[name] = &cachedDigest[T]{item: c.clone(item), digest: d}
	return d, nil
}

// cacheSlack is the number of entries that a cache may have beyond twice the number of items in use.
const cacheSlack = 256

// prune drops the entries that are not in items, if the cache is too large.
func (c *digestCache[T]) prune(items []T) {
	if len(c.entries) <= 2*len(items)+cacheSlack {
		return
	}
	kept := make(map[string]*cachedDigest[T], len(items))
	for _, item := range items {
		name := c.name(item)
		kept[name] = c.entries[name]
	}
	c.entries = kept
}
