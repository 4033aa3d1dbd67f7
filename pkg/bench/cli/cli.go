// Package cli implements the command line of bramblebench.
package cli

import (
	"errors"
	"fmt"
	"io"

	"bramblelift/pkg/bench/baseline"
	"bramblelift/pkg/bench/demo"
	"bramblelift/pkg/bench/experiment"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	// ExitOK reports a completed run without violations.
	ExitOK = 0
	// ExitFailure reports a violation, or a run that could not be completed.
	ExitFailure = 1
	// ExitUsage reports an invalid command line.
	ExitUsage = 2
)

type options struct {
	Demo     demo.Options                 `command:"demo" description:"run the whole system for a short while and judge it"`
	Sim      simOptions                   `command:"sim" description:"run the decision cores in virtual time under faults, seed by seed"`
	Converge experiment.ConvergeOptions   `command:"converge" description:"measure convergence time and control bytes beside two baselines"`
	Calls    experiment.CallsOptions      `command:"calls" description:"measure the data plane: time added, chains, retries, overload"`
	Backend  backendOptions               `command:"backend" description:"run one stand-in for a back end, for trying things out by hand"`
	Bare     baseline.ReverseProxyOptions `command:"bare-proxy" description:"run the bare reverse proxy that calls compares with" hidden:"yes"`
}

// Main runs the command named by the arguments and returns the exit code.
func Main(arguments []string, stdout, stderr io.Writer) int {
	var parsed options
	parser := flags.NewParser(&parsed, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "bramblebench"
	if _, err := parser.ParseArgs(arguments); err != nil {
		var flagsError *flags.Error
		if errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp {
			fmt.Fprintln(stdout, flagsError.Message)
			return ExitOK
		}
		fmt.Fprintln(stderr, "bramblebench:", err)
		return ExitUsage
	}
	var err error
	switch parser.Active.Name {
	case "demo":
		err = demo.Run(parsed.Demo, stdout)
	case "sim":
		err = parsed.Sim.run(stdout)
	case "calls":
		err = experiment.Calls(parsed.Calls, stdout)
	case "backend":
		err = parsed.Backend.run(stdout)
	case "bare-proxy":
		err = baseline.ServeReverseProxy(parsed.Bare)
	case "converge":
		err = experiment.Converge(parsed.Converge, stdout)
	}
	if err != nil {
		fmt.Fprintln(stderr, "bramblebench:", err)
		return ExitFailure
	}
	return ExitOK
}
