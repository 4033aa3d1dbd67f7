// Command bramblectl is the command-line client for operators of the control plane.
package main

import (
	"os"

	"bramblelift/pkg/ctl"
)

func main() {
	os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr))
}
