// Command trefoilwell runs a router daemon, checks its settings, or demonstrates a small
// fleet.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/trefoilwell/trefoilwell/daemon/process/app"
	"github.com/trefoilwell/trefoilwell/daemon/process/edge"
	"github.com/trefoilwell/trefoilwell/daemon/process/settings"
	"github.com/trefoilwell/trefoilwell/lab/demo"
	"github.com/trefoilwell/trefoilwell/platform"
)

// Exit codes of trefoilwell.
const (
	exitFailure = 1
	exitUsage   = 2
)

// globals holds the options of every command.
type globals struct {
	LogLevel string `long:"log-level" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"lowest level that is logged"`
}

// serveCommand implements `serve`, which runs a daemon: with a settings file of its own, or
// else with the settings of the users' platform.
type serveCommand struct {
	globals          *globals
	Settings         string `long:"settings" short:"s" description:"settings file of the product (TOML); takes precedence over the platform's"`
	PlatformSettings string `long:"platform-settings" description:"settings file of the users' platform; default the one that the platform names"`
	MetricsPort      int    `long:"metrics-port" default:"0" description:"port of the VM that serves metrics on the users' platform; 0 does not"`
}

// checkCommand implements `check`, which validates a settings file.
type checkCommand struct {
	Settings string `long:"settings" short:"s" required:"true" description:"settings file (TOML)"`
}

// demoCommand implements `demo`, which runs a small fleet in one process.
type demoCommand struct {
	globals *globals
	Keep    bool `long:"keep" description:"leave the fleet running after the load"`
}

func main() {
	var options globals
	parser := flags.NewParser(&options, flags.Default)
	addCommand(parser, "serve", "Run a daemon", &serveCommand{globals: &options})
	addCommand(parser, "check", "Check a settings file", &checkCommand{})
	addCommand(parser, "demo", "Run a small fleet in one process", &demoCommand{globals: &options})
	_, err := parser.Parse()
	os.Exit(exitCode(err))
}

// addCommand adds a command to the parser. It panics if the command's definition is
// invalid.
func addCommand(parser *flags.Parser, name, description string, command any) {
	if _, err := parser.AddCommand(name, description, description, command); err != nil {
		panic(err)
	}
}

// exitCode returns the exit code for the outcome of a command line.
func exitCode(err error) int {
	if err == nil {
		return 0
	}
	var flagsErr *flags.Error
	if !errors.As(err, &flagsErr) {
		return exitFailure
	}
	if flagsErr.Type == flags.ErrHelp {
		return 0
	}
	return exitUsage
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	if c.Settings == "" {
		return c.runOnPlatform()
	}
	loaded, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	daemon, err := app.New(loaded, newLogger(c.globals.LogLevel).With("vm", loaded.VM))
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	return daemon.Run(ctx)
}

// runOnPlatform runs the daemon with the settings of the users' platform.
func (c *serveCommand) runOnPlatform() error {
	path := c.PlatformSettings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	if path == "" {
		return &flags.Error{Type: flags.ErrRequired, Message: "give --settings or --platform-settings"}
	}
	daemon, err := edge.New(edge.Options{
		SettingsPath: path,
		MetricsPort:  c.MetricsPort,
		LogLevel:     logLevel(c.globals.LogLevel),
	})
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	return daemon.Run(ctx)
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	_, err := settings.Load(c.Settings)
	return err
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	level := c.globals.LogLevel
	if level == "info" {
		level = "warn"
	}
	return demo.Run(ctx, demo.Options{Keep: c.Keep, Out: os.Stdout, Log: newLogger(level)})
}

// signalContext returns a context that ends at the first SIGINT or SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}

// newLogger returns a logger that writes JSON lines from the given level on to standard
// error.
func newLogger(level string) *slog.Logger {
	return slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: logLevel(level)}))
}

// logLevel returns the level with the given name, or info for an unknown name.
func logLevel(name string) slog.Level {
	var level slog.Level
	if err := level.UnmarshalText([]byte(name)); err != nil {
		return slog.LevelInfo
	}
	return level
}
