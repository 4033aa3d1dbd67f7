// Command bramblebench holds the stand-ins, the fleet runner, the load and experiment
// tools and the simulator. It is never part of a production system.
package main

import (
	"os"

	"bramblelift/pkg/bench/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
