// Command bramblelift runs one process of the system: a control replica, a relay or a
// node.
package main

import (
	"os"

	"bramblelift/pkg/daemon"
	"bramblelift/platform"
)

func main() {
	os.Exit(daemon.Main(os.Args[1:], platform.Handlers(), os.Stdout, os.Stderr))
}
