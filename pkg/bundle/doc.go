// Package bundle defines the configuration that operators distribute, an immutable,
// numbered set of routes, services, secrets and tenants, with its validation, its digest
// and its approval.
//
// A Content is either a complete bundle or the part of it that one node group needs
// (Content.Scope). The digest of a bundle is the root of a Merkle tree with one leaf for
// each node group. A node can therefore verify the part it received against the signature
// over the whole bundle, given a few hashes and without the other parts.
package bundle
