// Package version names the build.
package version

// Number is the released version this tree leads to.
const Number = "0.1.0"

// unknownRevision stands for a build that was not told its commit.
const unknownRevision = "unknown"

// revision is set by the linker; see the Makefile.
var revision = unknownRevision

// Revision returns the commit of the build, with "+" if the tree was changed.
func Revision() string { return revision }

// String returns the number with the commit.
func String() string { return Number + "+" + revision }
