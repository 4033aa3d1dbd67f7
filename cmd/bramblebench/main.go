// Command bramblebench runs simulated back ends, a demo fleet, experiments under load and
// the simulator. It is a development tool and not part of a production system.
package main

import (
	"os"

	"bramblelift/pkg/bench/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
