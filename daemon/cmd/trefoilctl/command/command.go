// Package command implements the commands of trefoilctl.
package command

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/trefoilwell/trefoilwell/daemon/version/change"
	"github.com/trefoilwell/trefoilwell/fleet/version/tomlfile"
)

// Exit codes of trefoilctl.
const (
	// ExitOK is the code of a command that succeeded.
	ExitOK = 0
	// ExitFailure is the code of any failure other than the ones below.
	ExitFailure = 1
	// ExitUsage is the code of an invalid command line.
	ExitUsage = 2
	// ExitConflict is the code of a change that was not made because another
	// change came first.
	ExitConflict = 3
	// ExitUnconfirmed is the code of a command for which the platform could not
	// be reached, or did not confirm a change.
	ExitUnconfirmed = 4
)

// errUsage marks errors about a command line that go-flags accepts but that is
// invalid.
var errUsage = errors.New("usage")

// session holds the global options, the output streams and the clock of one command
// line.
type session struct {
	ctx    context.Context
	stdout io.Writer
	stderr io.Writer
	now    func() time.Time
	globals
}

// Run executes the command line in args and returns the exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	s := &session{ctx: ctx, stdout: stdout, stderr: stderr, now: time.Now}
	parser := flags.NewNamedParser("trefoilctl", flags.HelpFlag|flags.PassDoubleDash)
	s.register(parser)
	parser.CommandHandler = func(command flags.Commander, args []string) error {
		if command == nil {
			return nil
		}
		if len(args) > 0 {
			return errors.Mark(errors.Newf("unexpected argument %q", args[0]), errUsage)
		}
		if err := s.loadSettings(); err != nil {
			return err
		}
		return command.Execute(args)
	}
	_, err := parser.ParseArgs(args)
	return s.reportError(err)
}

// register adds every command to the parser.
func (s *session) register(parser *flags.Parser) {
	mustAddGroup(parser.AddGroup("Global options", "", &s.globals))
	config := mustAdd(parser.AddCommand("config", "Check, compare and apply configurations", "", &struct{}{}))
	mustAdd(config.AddCommand("check", "Check configuration files", "", &configCheck{session: s}))
	mustAdd(config.AddCommand("diff", "Compare configuration files with what is in force", "", &configDiff{session: s}))
	mustAdd(config.AddCommand("apply", "Put configuration files in force", "", &configApply{session: s}))
	mustAdd(config.AddCommand("show", "Print what is in force", "", &configShow{session: s}))
	preset := mustAdd(parser.AddCommand("preset", "List and switch presets", "", &struct{}{}))
	mustAdd(preset.AddCommand("list", "List the presets", "", &presetList{session: s}))
	mustAdd(preset.AddCommand("use", "Put a preset in force", "", &presetUse{session: s}))
	account := mustAdd(parser.AddCommand("account", "Manage client accounts", "", &struct{}{}))
	mustAdd(account.AddCommand("add", "Add a client account and print its API key once", "", &accountAdd{session: s}))
	mustAdd(account.AddCommand("list", "List the client accounts", "", &accountList{session: s}))
	mustAdd(account.AddCommand("rotate-key", "Give a client account a new API key and print it once", "", &accountRotate{session: s}))
	for _, target := range outTargets {
		parent := mustAdd(parser.AddCommand(target.command, "Take "+target.noun+" out of service and back", "", &struct{}{}))
		mustAdd(parent.AddCommand("out", "Take "+target.noun+" out of service", "", &outCommand{session: s, target: target, out: true}))
		mustAdd(parent.AddCommand("in", "Bring "+target.noun+" back into service", "", &outCommand{session: s, target: target}))
		if target.command == "upstream" {
			mustAdd(parent.AddCommand("list", "List the upstreams", "", &upstreamList{session: s}))
			mustAdd(parent.AddCommand("limits", "List the request rates that upstreams name", "", &upstreamLimits{session: s}))
		}
	}
	store := mustAdd(parser.AddCommand("store", "Show what daemons follow of the platform's store", "", &struct{}{}))
	mustAdd(store.AddCommand("eras", "List the store's era and the version that each daemon follows", "", &storeEras{session: s}))
	software := mustAdd(parser.AddCommand("software", "Show the software versions of upstreams", "", &struct{}{}))
	mustAdd(software.AddCommand("versions", "List the versions that serve, and the streams that callers have taken up", "", &softwareVersions{session: s}))
	rollouts := mustAdd(parser.AddCommand("rollout", "Show the rollouts of software versions", "", &struct{}{}))
	mustAdd(rollouts.AddCommand("status", "List the orders and what each daemon knows of them", "", &rolloutStatus{session: s}))
	prompt := mustAdd(parser.AddCommand("prompt", "Show and release prompt segments that crash upstreams", "", &struct{}{}))
	mustAdd(prompt.AddCommand("held", "List the held prompt segments", "", &promptHeld{session: s}))
	mustAdd(prompt.AddCommand("release", "Let requests with a held prompt segment be sent again", "", &promptRelease{session: s}))
	mustAdd(parser.AddCommand("explain", "Tell where a request would go now, and why", "", &explainCommand{session: s}))
	mustAdd(parser.AddCommand("status", "Show the fleet at a glance", "", &statusCommand{session: s}))
	mustAdd(parser.AddCommand("timeline", "Merge the time lines of the daemons", "", &timelineCommand{session: s}))
	mustAdd(parser.AddCommand("version", "Print the version of trefoilctl", "", &versionCommand{session: s}))
}

// mustAdd returns an added command. It panics if the command's definition is invalid.
func mustAdd(command *flags.Command, err error) *flags.Command {
	if err != nil {
		panic(err)
	}
	return command
}

// mustAddGroup panics if the definition of an option group is invalid.
func mustAddGroup(_ *flags.Group, err error) {
	if err != nil {
		panic(err)
	}
}

// reportError prints an error with advice for the operator, and returns the exit code.
func (s *session) reportError(err error) int {
	var usage *flags.Error
	var problems tomlfile.Problems
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(s.stdout, usage.Message)
		return ExitOK
	case errors.As(err, &usage):
		s.printError(err, "see trefoilctl --help")
		return ExitUsage
	case errors.Is(err, errUsage):
		s.printError(err, "see trefoilctl --help")
		return ExitUsage
	case errors.As(err, &problems):
		fmt.Fprintln(s.stderr, problems.Error())
		return ExitFailure
	case errors.Is(err, change.ErrConflict):
		s.printError(err, "nothing was changed; look at `trefoilctl config show`, then give the command again if it still fits")
		return ExitConflict
	case errors.Is(err, change.ErrUnconfirmed):
		s.printError(err, "the change may be in force or not; look at `trefoilctl config show` once the platform answers")
		return ExitUnconfirmed
	case errors.Is(err, change.ErrUnavailable):
		s.printError(err, "the platform cannot be reached and nothing was changed; try again later")
		return ExitUnconfirmed
	default:
		s.printError(err, "")
		return ExitFailure
	}
}

// printError prints an error, and advice unless it is empty, to standard error.
func (s *session) printError(err error, advice string) {
	fmt.Fprintln(s.stderr, "trefoilctl:", err)
	if advice != "" {
		fmt.Fprintln(s.stderr, "  ->", advice)
	}
}

// warn prints a warning to standard error.
func (s *session) warn(format string, args ...any) {
	fmt.Fprintf(s.stderr, "trefoilctl: "+format+"\n", args...)
}
