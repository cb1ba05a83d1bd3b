// Package operations tests the tasks of operators: it runs commands of trefoilctl
// against daemons and a fake platform store over loopback.
package operations

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/cmd/trefoilctl/command"
	client "github.com/trefoilwell/trefoilwell/daemon/connection/objectstore"
	"github.com/trefoilwell/trefoilwell/daemon/process/app"
	"github.com/trefoilwell/trefoilwell/daemon/process/operator"
	"github.com/trefoilwell/trefoilwell/daemon/process/settings"
	"github.com/trefoilwell/trefoilwell/fleet/process/timeline"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/lab/metastore"
)

// downFaults make the platform store refuse every call.
var downFaults = metastore.Down

const operatorToken = "operators"

const configuration = `[[datacentre]]
name = "north"
region = "one"
[[datacentre]]
name = "south"
region = "two"
[[pool]]
name = "polish"
kind = "model"
models = ["polish-7b"]
[[upstream]]
name = "north-1"
pool = "polish"
datacentre = "north"
address = "127.0.0.1:1"
team = "advice"
[[preset]]
name = "ordinary"
[[preset]]
name = "peak"
limit_scale = 2.0
`

// environment is a fake platform store, a configuration file, and the daemons that a test
// starts.
type environment struct {
	t     *testing.T
	store *metastore.Store
	// url is the platform store's URL.
	url string
	// path is the path of the configuration file.
	path string
	// operators and callers hold the host:port of each daemon's listeners.
	operators []string
	callers   []string
	// globalFlags are further global flags of each command.
	globalFlags []string
	// change alters each daemon's settings; it may be nil.
	change func(*settings.Settings)
}

// newEnvironment starts a platform store and writes the configuration file.
func newEnvironment(t *testing.T) *environment {
	t.Helper()
	env := &environment{t: t, store: metastore.New(), path: filepath.Join(t.TempDir(), "fleet.toml")}
	server := httptest.NewServer(env.store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	env.url = server.URL
	env.write(configuration)
	return env
}

// write replaces the configuration file.
func (env *environment) write(text string) {
	env.t.Helper()
	if err := os.WriteFile(env.path, []byte(text), 0o600); err != nil {
		env.t.Fatal(err)
	}
}

// run runs a command of trefoilctl and returns its exit code and output.
func (env *environment) run(args ...string) (code int, stdout, stderr string) {
	env.t.Helper()
	globalFlags := append([]string{"--platform-url", env.url, "--operator-token", operatorToken, "--timeout", "5s"}, env.globalFlags...)
	for _, address := range env.operators {
		globalFlags = append(globalFlags, "--operator", address)
	}
	var out, errs bytes.Buffer
	code = command.Run(env.t.Context(), append(globalFlags, args...), &out, &errs)
	return code, out.String(), errs.String()
}

// expectExit runs a command, fails the test unless the command exits with a code, and
// returns its output.
func (env *environment) expectExit(code int, args ...string) (stdout, stderr string) {
	env.t.Helper()
	got, stdout, stderr := env.run(args...)
	if got != code {
		env.t.Fatalf("%q exited with code %d, want %d; its output:\n%s%s", args, got, code, stdout, stderr)
	}
	return stdout, stderr
}

// checkContains checks that a text contains all wanted parts.
func (env *environment) checkContains(text string, wanted ...string) {
	env.t.Helper()
	for _, part := range wanted {
		if !strings.Contains(text, part) {
			env.t.Errorf("%q is missing in:\n%s", part, text)
		}
	}
}

// Guards against configuration commands that accept invalid files or stale versions, or
// that print something else than the stored configuration.
func TestConfigurationCommands(t *testing.T) {
	env := newEnvironment(t)
	out, _ := env.expectExit(command.ExitOK, "config", "check", env.path)
	env.checkContains(out, "valid:", "1 upstreams")
	_, errs := env.expectExit(command.ExitFailure, "config", "show")
	env.checkContains(errs, "there is no configuration yet")
	env.expectExit(command.ExitConflict, "config", "apply", env.path, "--expect", "7")
	env.expectExit(command.ExitOK, "config", "apply", env.path, "--expect", "0")
	out, _ = env.expectExit(command.ExitOK, "config", "show")
	env.checkContains(out, "# version 1, preset ordinary in force", "north-1")

	env.write(strings.Replace(configuration, "north-1", "north-2", 1) + "wieght = 1\n")
	_, errs = env.expectExit(command.ExitFailure, "config", "check", env.path)
	env.checkContains(errs, env.path+":22:1: unknown key")
	env.write(strings.Replace(configuration, "north-1", "north-2", 1))
	out, _ = env.expectExit(command.ExitOK, "config", "diff", env.path)
	env.checkContains(out, "- upstream north-1", "+ upstream north-2", "--expect 1")
	_, errs = env.expectExit(command.ExitConflict, "config", "apply", env.path, "--expect", "0")
	env.checkContains(errs, "nothing was changed")
	out, _ = env.expectExit(command.ExitOK, "--json", "config", "apply", env.path, "--expect", "1")
	env.checkContains(out, `"version": 2`, `"confirmed": true`)
	env.expectExit(command.ExitOK, "preset", "use", "peak")
	out, _ = env.expectExit(command.ExitOK, "preset", "list")
	env.checkContains(out, "peak      yes", "ordinary  no")
	env.expectExit(command.ExitFailure, "preset", "use", "absent")
	out, _ = env.expectExit(command.ExitOK, "--json", "upstream", "list")
	env.checkContains(out, `"name": "north-2"`, `"warm_limit": 16`, `"out": false`)
	env.expectExit(command.ExitOK, "upstream", "out", "north-2")
	out, _ = env.expectExit(command.ExitOK, "--json", "upstream", "list")
	env.checkContains(out, `"out": true`)
	env.expectExit(command.ExitFailure, "datacentre", "out", "west")
	env.expectExit(command.ExitUsage, "datacentre", "sideways", "north")
	env.expectExit(command.ExitUsage, "vm", "out", "a b")
	env.expectExit(command.ExitUsage, "status")
	env.expectExit(command.ExitOK, "version")
}

// Guards against API keys in the stored configuration, and against old keys that remain
// valid after they were dropped.
func TestAPIKeyIsShownOnceAndOnlyItsDigestIsStored(t *testing.T) {
	env := newEnvironment(t)
	env.expectExit(command.ExitOK, "config", "apply", env.path, "--expect", "0")
	keyOf := func(args ...string) string {
		out, _ := env.expectExit(command.ExitOK, append([]string{"--json"}, args...)...)
		var printed struct {
			Key string `json:"api_key"`
		}
		if err := json.Unmarshal([]byte(out), &printed); err != nil || len(printed.Key) < 40 {
			t.Fatalf("API key is %q, error %v, want at least 40 characters", printed.Key, err)
		}
		return printed.Key
	}
	first := keyOf("account", "add", "crews", "--weight", "2")
	env.expectExit(command.ExitFailure, "account", "add", "crews")
	second := keyOf("account", "rotate-key", "crews")
	out, _ := env.expectExit(command.ExitOK, "config", "show")
	env.checkContains(out, version.KeyDigest(first), version.KeyDigest(second))
	if strings.Contains(out, first) || strings.Contains(out, second) {
		t.Error("the stored configuration contains an API key")
	}
	third := keyOf("account", "rotate-key", "crews", "--drop-old")
	out, _ = env.expectExit(command.ExitOK, "config", "show")
	env.checkContains(out, version.KeyDigest(third))
	if strings.Contains(out, version.KeyDigest(first)) || strings.Contains(out, version.KeyDigest(second)) {
		t.Error("the digest of a dropped key is still stored")
	}
	env.expectExit(command.ExitFailure, "account", "rotate-key", "nobody")
	out, _ = env.expectExit(command.ExitOK, "account", "list")
	env.checkContains(out, "crews    2       -     1")
}

// Guards against commands that report success or failure by the answer to a write alone: a
// write whose answer is lost may have been made, and one to a store that is down was not.
func TestChangeIsReportedAsThePlatformConfirmsIt(t *testing.T) {
	env := newEnvironment(t)
	env.expectExit(command.ExitOK, "config", "apply", env.path, "--expect", "0")
	env.store.SetFaults(metastore.Faults{LoseWriteAnswers: true})
	out, _ := env.expectExit(command.ExitOK, "preset", "use", "peak")
	env.checkContains(out, "version 2 confirmed")
	env.store.SetFaults(metastore.Down)
	_, errs := env.expectExit(command.ExitUnconfirmed, "preset", "use", "ordinary")
	env.checkContains(errs, "nothing was changed")
	env.store.SetFaults(metastore.Faults{})
	out, _ = env.expectExit(command.ExitOK, "preset", "list")
	env.checkContains(out, "peak      yes")
}

// startDaemons starts one daemon for each entry, in that data centre. They stop at the end
// of the test.
func (env *environment) startDaemons(dataCentres ...version.DataCentreID) {
	env.t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	var daemons sync.WaitGroup
	var vms []client.VM
	for i, dataCentre := range dataCentres {
		s := settings.Default()
		s.VM, s.DataCentre = version.VMID(fmt.Sprintf("vm-%d", i+1)), dataCentre
		s.Callers.Listen, s.Peers.Listen, s.Operators.Listen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
		s.Callers.DrainGraceMS = 1
		s.Peers.Secret, s.Operators.Token = "fleet", operatorToken
		s.Platform.URL = env.url
		if env.change != nil {
			env.change(s)
		}
		daemon, err := app.New(s, slog.New(slog.DiscardHandler))
		if err != nil {
			env.t.Fatal(err)
		}
		env.operators = append(env.operators, daemon.OperatorsAddress())
		env.callers = append(env.callers, daemon.CallersAddress())
		vms = append(vms, client.VM{ID: s.VM, DataCentre: dataCentre, PeerAddress: daemon.PeersAddress(), State: client.VMLive})
		daemons.Go(func() {
			if err := daemon.Run(ctx); err != nil {
				env.t.Error(err)
			}
		})
	}
	env.store.SetVMs(vms)
	env.t.Cleanup(func() {
		stop()
		daemons.Wait()
	})
}

// daemon is one element of the output of `trefoilctl --json status`.
type daemon struct {
	Status operator.Status `json:"status"`
}

// waitUntil waits until every daemon's status satisfies a condition, and fails the test
// after 300 polls, at least 15 s.
func (env *environment) waitUntil(condition string, holds func(operator.Status) bool) {
	env.t.Helper()
	var out string
	for range 300 {
		_, out, _ = env.run("--json", "status")
		var daemons []daemon
		if err := json.Unmarshal([]byte(out), &daemons); err != nil {
			env.t.Fatal(err)
		}
		allHold := len(daemons) == len(env.operators)
		for _, d := range daemons {
			allHold = allHold && holds(d.Status)
		}
		if allHold {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	env.t.Fatalf("timed out waiting until %s; last status:\n%s", condition, out)
}

// Guards against an evacuation that depends on the platform store: an order to one daemon
// must reach the others while the store is down, be written into the store once it answers,
// and be shown in the timeline of each VM.
func TestDataCentreIsEvacuatedWhileThePlatformIsDown(t *testing.T) {
	env := newEnvironment(t)
	env.expectExit(command.ExitOK, "config", "apply", env.path, "--expect", "0")
	env.startDaemons("north", "north", "north", "south")
	env.waitUntil("every daemon is ready and linked", func(s operator.Status) bool {
		return s.Ready && s.Configuration.Number == 1 && len(s.Members) == 3
	})
	// The command sends the order to one daemon, which forwards it to the others.
	allOperators := env.operators
	env.operators = allOperators[:1]
	env.store.SetFaults(metastore.Down)
	out, errs := env.expectExit(command.ExitUnconfirmed, "datacentre", "out", "north")
	env.checkContains(out, "in force in version 2")
	env.checkContains(errs, "write it into the platform once it answers")
	env.operators = allOperators
	env.waitUntil("north is out of service at every daemon", func(s operator.Status) bool {
		return len(s.Configuration.Out.DataCentres) == 1 && s.Ready == (s.DataCentre == "south")
	})
	env.store.SetFaults(metastore.Faults{})
	env.waitUntil("the order is written into the platform", func(s operator.Status) bool {
		return s.Configuration.Confirmed == 3 && len(s.Configuration.Orders) == 0
	})
	env.expectExit(command.ExitOK, "datacentre", "in", "north")
	env.waitUntil("north is back in service", func(s operator.Status) bool {
		return s.Configuration.Number == 4 && s.Ready && len(s.Configuration.Out.DataCentres) == 0
	})

	env.waitUntil("north's dispatcher shows its upstream", func(s operator.Status) bool {
		return s.DataCentre == "south" || len(s.Pools) == 0 || s.Pools[0].Upstreams == 1
	})
	out, _ = env.expectExit(command.ExitOK, "status")
	env.checkContains(out, "vm-1", "south", "ordinary", "SLOTS USED", "polish", "1 of 1")
	out, _ = env.expectExit(command.ExitOK, "timeline", "--kind", "configured")
	var previous timeline.Stamp
	lines := strings.Split(strings.TrimSpace(out), "\n")
	seen := make(map[version.VMID]bool)
	for _, line := range lines {
		var event timeline.Event
		if err := json.Unmarshal([]byte(line), &event); err != nil || event.Kind != timeline.KindConfigured {
			t.Fatalf("%q: %v", line, err)
		}
		if event.Stamp.Before(previous) {
			t.Errorf("the event at %v follows the one at %v", event.Stamp, previous)
		}
		previous, seen[event.VM] = event.Stamp, true
	}
	if len(seen) != 4 {
		t.Errorf("events of the VMs %v, want events of four", seen)
	}
	page := filepath.Join(t.TempDir(), "timeline.html")
	env.expectExit(command.ExitOK, "timeline", "--html", page)
	if info, err := os.Stat(page); err != nil || info.Size() == 0 {
		t.Errorf("the timeline page is missing or empty: %v", err)
	}
	env.operators = append(env.operators, "127.0.0.1:1")
	env.expectExit(command.ExitFailure, "status")
	env.expectExit(command.ExitFailure, "timeline")
	env.expectExit(command.ExitUsage, "timeline", "--since", "soon")
}
