// Package command holds the commands of trefoilctl.
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
	// ExitOK is a command that did what it says.
	ExitOK = 0
	// ExitFailure is any failure but those below.
	ExitFailure = 1
	// ExitUsage is a command line that cannot be understood.
	ExitUsage = 2
	// ExitConflict is a change that was not made, because another one was made
	// first.
	ExitConflict = 3
	// ExitUnconfirmed is a platform that cannot be reached, or that did not
	// confirm a change.
	ExitUnconfirmed = 4
)

// errUsage is returned for a command line that go-flags accepts but that makes
// no sense.
var errUsage = errors.New("usage")

// session is what a command works with.
type session struct {
	ctx    context.Context
	stdout io.Writer
	stderr io.Writer
	now    func() time.Time
	globals
}

// Run runs one command line and returns the exit code.
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
		if err := s.complete(); err != nil {
			return err
		}
		return command.Execute(args)
	}
	_, err := parser.ParseArgs(args)
	return s.report(err)
}

// register adds every command.
func (s *session) register(parser *flags.Parser) {
	mustGroup(parser.AddGroup("Global options", "", &s.globals))
	config := must(parser.AddCommand("config", "Check, compare and apply configurations", "", &struct{}{}))
	must(config.AddCommand("check", "Check configuration files", "", &configCheck{session: s}))
	must(config.AddCommand("diff", "Compare configuration files with what is in force", "", &configDiff{session: s}))
	must(config.AddCommand("apply", "Put configuration files in force", "", &configApply{session: s}))
	must(config.AddCommand("show", "Print what is in force", "", &configShow{session: s}))
	preset := must(parser.AddCommand("preset", "List and switch presets", "", &struct{}{}))
	must(preset.AddCommand("list", "List the presets", "", &presetList{session: s}))
	must(preset.AddCommand("use", "Put a preset in force", "", &presetUse{session: s}))
	account := must(parser.AddCommand("account", "Manage client accounts", "", &struct{}{}))
	must(account.AddCommand("add", "Add a client account and print its API key once", "", &accountAdd{session: s}))
	must(account.AddCommand("list", "List the client accounts", "", &accountList{session: s}))
	must(account.AddCommand("rotate-key", "Give a client account a new API key and print it once", "", &accountRotate{session: s}))
	for _, target := range outTargets {
		parent := must(parser.AddCommand(target.command, "Take "+target.noun+" out of service and back", "", &struct{}{}))
		must(parent.AddCommand("out", "Take "+target.noun+" out of service", "", &outCommand{session: s, target: target, out: true}))
		must(parent.AddCommand("in", "Bring "+target.noun+" back into service", "", &outCommand{session: s, target: target}))
		if target.command == "upstream" {
			must(parent.AddCommand("list", "List the upstreams", "", &upstreamList{session: s}))
		}
	}
	must(parser.AddCommand("status", "Show the fleet at a glance", "", &statusCommand{session: s}))
	must(parser.AddCommand("timeline", "Merge the time lines of the daemons", "", &timelineCommand{session: s}))
	must(parser.AddCommand("version", "Print the version of trefoilctl", "", &versionCommand{session: s}))
}

func must(command *flags.Command, err error) *flags.Command {
	if err != nil {
		panic(err)
	}
	return command
}

func mustGroup(_ *flags.Group, err error) {
	if err != nil {
		panic(err)
	}
}

// report prints an error, with what to do about it, and returns the exit code.
func (s *session) report(err error) int {
	var usage *flags.Error
	var problems tomlfile.Problems
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(s.stdout, usage.Message)
		return ExitOK
	case errors.As(err, &usage):
		s.complain(err, "see trefoilctl --help")
		return ExitUsage
	case errors.Is(err, errUsage):
		s.complain(err, "see trefoilctl --help")
		return ExitUsage
	case errors.As(err, &problems):
		fmt.Fprintln(s.stderr, problems.Error())
		return ExitFailure
	case errors.Is(err, change.ErrConflict):
		s.complain(err, "nothing was changed; look at `trefoilctl config show`, then give the command again if it still fits")
		return ExitConflict
	case errors.Is(err, change.ErrUnconfirmed):
		s.complain(err, "the change may be in force or not; look at `trefoilctl config show` once the platform answers")
		return ExitUnconfirmed
	case errors.Is(err, change.ErrUnavailable):
		s.complain(err, "the platform cannot be reached and nothing was changed; try again later")
		return ExitUnconfirmed
	default:
		s.complain(err, "")
		return ExitFailure
	}
}

func (s *session) complain(err error, advice string) {
	fmt.Fprintln(s.stderr, "trefoilctl:", err)
	if advice != "" {
		fmt.Fprintln(s.stderr, "  ->", advice)
	}
}

func (s *session) warn(format string, args ...any) {
	fmt.Fprintf(s.stderr, "trefoilctl: "+format+"\n", args...)
}
