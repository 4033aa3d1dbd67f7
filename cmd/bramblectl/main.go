// Command bramblectl is the operators' client.
package main

import (
	"os"

	"bramblelift/pkg/ctl"
)

func main() {
	os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr))
}
