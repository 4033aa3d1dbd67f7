// Package daemon implements the command line of the bramblelift program: it loads the
// settings, applies flags over them, checks them, and runs one role until SIGINT or SIGTERM.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"bramblelift/pkg/control"
	"bramblelift/pkg/logging"
	"bramblelift/pkg/proxy"
	"bramblelift/pkg/relay"
	"bramblelift/pkg/settings"
	"bramblelift/pkg/version"

	"github.com/jessevdk/go-flags"
	"github.com/pelletier/go-toml/v2"
)

// These constants are the exit codes of bramblelift.
const (
	// ExitOK means that the process stopped gracefully, or completed a one-off command.
	ExitOK = 0
	// ExitFailure means that the process failed to start, run or stop gracefully.
	ExitFailure = 1
	// ExitUsage means that flags or settings are invalid; nothing was started.
	ExitUsage = 2
)

// commonFlags are the flags of every role. A flag that is set overrides the settings file.
type commonFlags struct {
	Settings    string `long:"settings" value-name:"FILE" description:"settings file in TOML"`
	Check       bool   `long:"check" description:"check the settings, print what would be in force, and exit"`
	Name        string `long:"name" description:"name of this process"`
	Zone        string `long:"zone" description:"zone of this process"`
	Listen      string `long:"listen" value-name:"IP:PORT" description:"address to serve on"`
	AdminListen string `long:"admin-listen" value-name:"IP:PORT" description:"address for status, metrics and operators"`
}

func overrideIfSet(target *string, value string) {
	if value != "" {
		*target = value
	}
}

func (f commonFlags) applyTo(common *settings.Common, listen *string) {
	overrideIfSet(&common.Name, f.Name)
	overrideIfSet(&common.Zone, f.Zone)
	overrideIfSet(&common.AdminListen, f.AdminListen)
	overrideIfSet(listen, f.Listen)
}

type controlCommand struct {
	commonFlags
	Data string `long:"data" value-name:"FOLDER" description:"folder for the replica's state"`
	Init bool   `long:"init" description:"make the data folder of a first replica of a new cluster, and exit; do this once in a cluster's life"`
}

type relayCommand struct {
	commonFlags
}

type proxyCommand struct {
	commonFlags
	Data  string `long:"data" value-name:"FOLDER" description:"folder for the last configuration"`
	Group string `long:"group" description:"node group whose routes are served"`
}

type options struct {
	Control controlCommand `command:"control" description:"run a control replica"`
	Relay   relayCommand   `command:"relay" description:"run a relay"`
	Proxy   proxyCommand   `command:"proxy" description:"run a node"`
	Version struct{}       `command:"version" description:"print the version"`
}

// errNotReloaded means that the role reads its settings only when it starts.
var errNotReloaded = errors.New("these settings take effect at the next start")

// errUsage marks errors that exit with ExitUsage.
var errUsage = errors.New("settings")

// PlatformHandlers create the HTTP handlers of a platform's API, which the daemons serve at
// interface_listen; each may be nil.
type PlatformHandlers struct {
	// Control returns the handler for operators, Proxy that for the back end beside a node.
	Control func(*control.Server) http.Handler
	Proxy   func(*proxy.Server) http.Handler
}

// Main runs bramblelift with arguments, without the program's name, and returns its exit code.
func Main(arguments []string, handlers PlatformHandlers, stdout, stderr io.Writer) int {
	var parsed options
	parser := flags.NewParser(&parsed, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "bramblelift"
	if _, err := parser.ParseArgs(arguments); err != nil {
		return reportParseError(err, stdout, stderr)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	var err error
	switch parser.Active.Name {
	case "control":
		err = parsed.Control.run(ctx, handlers, stdout)
	case "relay":
		err = parsed.Relay.run(ctx, stdout)
	case "proxy":
		err = parsed.Proxy.run(ctx, handlers, stdout)
	case "version":
		fmt.Fprintln(stdout, "bramblelift", version.String())
	}
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(stderr, "bramblelift:", err)
	if errors.Is(err, errUsage) {
		return ExitUsage
	}
	return ExitFailure
}

func reportParseError(err error, stdout, stderr io.Writer) int {
	var flagsError *flags.Error
	if errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp {
		fmt.Fprintln(stdout, flagsError.Message)
		return ExitOK
	}
	fmt.Fprintln(stderr, "bramblelift:", err)
	return ExitUsage
}

// reportSettings returns the errors of loading and checking the settings at path. With
// printOnly it prints valid settings as TOML. done reports whether the process must not start.
func reportSettings(path string, loadErr, checkErr error, printOnly bool, config any, stdout io.Writer) (done bool, err error) {
	if loadErr != nil {
		return true, fmt.Errorf("%w: %w", errUsage, loadErr)
	}
	if checkErr != nil {
		return true, fmt.Errorf("%w: %s: %w", errUsage, path, checkErr)
	}
	if !printOnly {
		return false, nil
	}
	text, err := toml.Marshal(config)
	if err != nil {
		return true, fmt.Errorf("print settings: %w", err)
	}
	_, err = stdout.Write(text)
	return true, err
}

func (c *controlCommand) run(ctx context.Context, handlers PlatformHandlers, stdout io.Writer) error {
	config, loadErr := c.load()
	if done, err := reportSettings(c.Settings, loadErr, config.Check(), c.Check, config, stdout); done {
		return err
	}
	if c.Init {
		return control.Init(config)
	}
	logger := logging.New(stdout, "control", config.Name)
	defer logger.Close()
	logger.CaptureStandardLog()
	server, err := control.New(ctx, config, logger, handlers.Control)
	if errors.Is(err, context.Canceled) {
		logger.Log("event", "stopped", "error", err)
		return nil
	}
	if err != nil {
		return err
	}
	watchSettings(ctx, c.Settings, logger, func() error {
		next, err := c.load()
		if err := errors.Join(err, next.Check()); err != nil {
			return err
		}
		server.SetSeeds(next.SeedAddresses())
		return nil
	})
	return server.Run(ctx)
}

// load reads the settings file and applies the flags over it.
func (c *controlCommand) load() (settings.Control, error) {
	var config settings.Control
	err := settings.Load(c.Settings, &config)
	c.applyTo(&config.Common, &config.Listen)
	overrideIfSet(&config.Data, c.Data)
	return config, err
}

func (c *relayCommand) run(ctx context.Context, stdout io.Writer) error {
	var config settings.Relay
	loadErr := settings.Load(c.Settings, &config)
	c.applyTo(&config.Common, &config.Listen)
	if done, err := reportSettings(c.Settings, loadErr, config.Check(), c.Check, config, stdout); done {
		return err
	}
	logger := logging.New(stdout, "relay", config.Name)
	defer logger.Close()
	logger.CaptureStandardLog()
	server, err := relay.New(config, logger)
	if err != nil {
		return err
	}
	watchSettings(ctx, c.Settings, logger, func() error { return errNotReloaded })
	return server.Run(ctx)
}

func (c *proxyCommand) run(ctx context.Context, handlers PlatformHandlers, stdout io.Writer) error {
	config, loadErr := c.load()
	if done, err := reportSettings(c.Settings, loadErr, config.Check(), c.Check, config, stdout); done {
		return err
	}
	logger := logging.New(stdout, "proxy", config.Name)
	defer logger.Close()
	logger.CaptureStandardLog()
	server, err := proxy.New(config, logger, handlers.Proxy)
	if err != nil {
		return err
	}
	watchSettings(ctx, c.Settings, logger, func() error {
		next, err := c.load()
		if err := errors.Join(err, next.Check()); err != nil {
			return err
		}
		server.SetSeeds(next)
		return nil
	})
	return server.Run(ctx)
}

// load reads the settings file and applies the flags over it.
func (c *proxyCommand) load() (settings.Proxy, error) {
	var config settings.Proxy
	err := settings.Load(c.Settings, &config)
	c.applyTo(&config.Common, &config.Listen)
	overrideIfSet(&config.Data, c.Data)
	overrideIfSet(&config.Group, c.Group)
	return config, err
}
