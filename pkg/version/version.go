// Package version names the build.
package version

import "runtime/debug"

// Number is the released version this tree leads to.
const Number = "0.1.0"

// String returns the number with the commit, where the build knows it.
func String() string {
	info, known := debug.ReadBuildInfo()
	if !known {
		return Number
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return Number + "+" + setting.Value
		}
	}
	return Number
}
