// Package ctl implements bramblectl, the operators' command line.
package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"bramblelift/pkg/catalog"
	"bramblelift/pkg/operator"
	"bramblelift/pkg/version"

	"github.com/jessevdk/go-flags"
)

// These constants are the exit codes of bramblectl, on which scripts rely.
const (
	// ExitOK means success.
	ExitOK = 0
	// ExitRefused means that the control plane rejected the request; nothing was changed.
	ExitRefused = 1
	// ExitUsage means that the command line is invalid or a file cannot be read.
	ExitUsage = 2
	// ExitConflict means that another operation was committed first.
	ExitConflict = 3
	// ExitUnavailable means that no leader responded in time, so the outcome may be unknown.
	// Repeat the command with the same --operation to learn it.
	ExitUnavailable = 4
	// ExitInvalid means that the bundle or the approval is invalid.
	ExitInvalid = 5
)

// globalOptions apply to every command.
type globalOptions struct {
	Control []string      `long:"control" env:"BRAMBLELIFT_CONTROL" env-delim:"," value-name:"IP:PORT" description:"operators' address of a control replica; repeat for each"`
	JSON    bool          `long:"json" description:"print JSON instead of a table"`
	Timeout time.Duration `long:"timeout" default:"15s" description:"how long to look for a leader"`
}

// session holds the options, client and output streams of one command run.
type session struct {
	globals *globalOptions
	client  *operator.Client
	stdout  io.Writer
	stderr  io.Writer
	context context.Context
}

// command is implemented by each subcommand. go-flags requires an Execute method too, which does nothing: Main calls
// run instead.
type command interface {
	run(s *session) error
}

type options struct {
	globalOptions
	Bundle struct {
		Create   createCommand   `command:"create" description:"create a version from a file, the source or an earlier version"`
		Approve  approveCommand  `command:"approve" description:"sign a version off"`
		Publish  publishCommand  `command:"publish" description:"create, sign off and roll a version in one act, where the settings accept that"`
		Roll     rollCommand     `command:"roll" description:"put a version in force everywhere"`
		HandBack handBackCommand `command:"hand-back" description:"create, approve and roll a version that hands traffic back"`
		List     listCommand     `command:"list" description:"list versions"`
		Check    checkCommand    `command:"check" description:"check a bundle file without sending it"`
	} `command:"bundle" description:"work with versions of the bundle"`
	Key struct {
		Generate generateCommand  `command:"generate" description:"make an approval key"`
		Digest   digestKeyCommand `command:"digest" description:"print what a bundle holds of a tenant's key, which is read from standard input"`
	} `command:"key" description:"work with approval keys, and with tenants' keys"`
	Status   statusCommand   `command:"status" description:"show the control plane"`
	Proxies  proxiesCommand  `command:"proxies" description:"show which node holds which version"`
	Diff     diffCommand     `command:"diff" description:"show what changed between two versions"`
	Suspects suspectsCommand `command:"suspects" description:"show requests under which back ends ended, or let one through again"`
	Evacuate evacuateCommand `command:"evacuate" description:"let a zone's back ends get nothing new, or take that back"`
	Zones    zonesCommand    `command:"zones" description:"show the zones, which are evacuated, and what still runs there"`
	Tenants  tenantsCommand  `command:"tenants" description:"show what tenants use of their limits"`
	Rollout  struct {
		Start   rolloutStartCommand   `command:"start" description:"move a service's calls to a new version, by evidence"`
		Status  rolloutStatusCommand  `command:"status" description:"show rollouts, what they have exposed and why they are where they are"`
		Stop    rolloutStopCommand    `command:"stop" description:"take a rollout back"`
		History rolloutHistoryCommand `command:"history" description:"show the steps of a service's rollouts"`
	} `command:"rollout" description:"work with rollouts of a service's new version"`
	Watch      watchCommand      `command:"watch" description:"follow a version until every connected node has it in force"`
	Explain    explainCommand    `command:"explain" description:"find a request in logs, with what led to its end"`
	Completion completionCommand `command:"completion" description:"print a completion script for bash"`
	Version    versionCommand    `command:"version" description:"print the version"`
}

// Main runs bramblectl with arguments, without the program's name, and returns its exit code.
func Main(arguments []string, stdout, stderr io.Writer) int {
	var parsed options
	parser := flags.NewParser(&parsed, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "bramblectl"
	var selected command
	parser.CommandHandler = func(active flags.Commander, _ []string) error {
		selected, _ = active.(command)
		return nil
	}
	if _, err := parser.ParseArgs(arguments); err != nil {
		return reportParseError(err, stdout, stderr)
	}
	if selected == nil {
		fmt.Fprintln(stderr, "bramblectl: name a command; --help lists them")
		return ExitUsage
	}
	ctx, cancel := context.WithTimeout(context.Background(), parsed.Timeout)
	defer cancel()
	s := &session{globals: &parsed.globalOptions, client: operator.NewClient(parsed.Control), stdout: stdout, stderr: stderr, context: ctx}
	if err := selected.run(s); err != nil {
		return reportError(err, stderr)
	}
	return ExitOK
}

func reportParseError(err error, stdout, stderr io.Writer) int {
	var flagsError *flags.Error
	if errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp {
		fmt.Fprintln(stdout, flagsError.Message)
		return ExitOK
	}
	fmt.Fprintln(stderr, "bramblectl:", err)
	return ExitUsage
}

// errUsage marks errors that exit with ExitUsage.
var errUsage = errors.New("usage")

func reportError(err error, stderr io.Writer) int {
	fmt.Fprintln(stderr, "bramblectl:", err)
	var opErr *catalog.OperationError
	if errors.As(err, &opErr) {
		return reportOperationError(opErr, stderr)
	}
	if errors.Is(err, errUsage) {
		return ExitUsage
	}
	return ExitUnavailable
}

func reportOperationError(opErr *catalog.OperationError, stderr io.Writer) int {
	for _, problem := range opErr.Problems {
		fmt.Fprintln(stderr, "  ", problem)
	}
	if opErr.Winner != nil {
		fmt.Fprintf(stderr, "   version %d (digest %s) stands there\n", opErr.Winner.Version, opErr.Winner.Digest.Short())
	}
	switch opErr.Code {
	case catalog.CodeConflict, catalog.CodeOperationReused:
		return ExitConflict
	case catalog.CodeInvalidBundle, catalog.CodeInvalidApproval:
		return ExitInvalid
	case catalog.CodeUnavailable, catalog.CodeUnknownOutcome:
		return ExitUnavailable
	default:
		return ExitRefused
	}
}

// requireControl checks that the options name at least one control replica.
func (s *session) requireControl() error {
	if len(s.globals.Control) == 0 {
		return fmt.Errorf("%w: name a control replica with --control or BRAMBLELIFT_CONTROL", errUsage)
	}
	return nil
}

// call sends a request to the leader and decodes its response.
func (s *session) call(method, path string, request, response any) error {
	if err := s.requireControl(); err != nil {
		return err
	}
	return s.client.Do(s.context, method, path, request, response)
}

// print writes value as JSON with --json, and calls printText otherwise.
func (s *session) print(value any, printText func()) error {
	if !s.globals.JSON {
		printText()
		return nil
	}
	encoder := json.NewEncoder(s.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

type versionCommand struct{}

func (c *versionCommand) run(s *session) error {
	fmt.Fprintln(s.stdout, "bramblectl", version.String())
	return nil
}

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error { return nil }

type completionCommand struct{}

func (c *completionCommand) run(s *session) error {
	fmt.Fprint(s.stdout, completionScript)
	return nil
}

// Execute implements flags.Commander.
func (c *completionCommand) Execute([]string) error { return nil }

// completionScript runs bramblectl itself for completions, which go-flags implements.
var completionScript = strings.TrimLeft(`
_bramblectl() {
    local IFS=$'\n'
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
}
complete -F _bramblectl bramblectl
`, "\n")

func readFile(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("%w: %w", errUsage, err)
	}
	return string(text), nil
}
