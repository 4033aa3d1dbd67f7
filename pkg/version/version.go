// Package version identifies the build of a program.
package version

// Number is the release version of this source tree, without the commit.
const Number = "0.1.0"

// unknownRevision is the revision of builds without the linker flag that sets it.
const unknownRevision = "unknown"

// revision is set at link time with -ldflags -X; see the Makefile. The flag refers to this name.
var revision = unknownRevision

// Revision returns the commit of the build, with the suffix "+" if the tree had uncommitted changes, or
// "unknown".
func Revision() string { return revision }

// String returns Number and the commit of the build, separated by "+".
func String() string { return Number + "+" + revision }
