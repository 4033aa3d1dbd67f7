// Package bundle defines what operators distribute: an immutable, numbered set of
// routes, services and secrets, its validation, its digest and its approval.
//
// A Content is either the whole of a bundle or the part of it that one node group
// needs (Content.Scope). The digest of a bundle is the root of a Merkle tree with one
// leaf a node group, so that a node can check the part it was sent against the
// signature that approved the whole, with a few hashes and without the rest.
package bundle
