// Package operations tests what operators do, with the commands of trefoilctl
// against daemons and a platform stand-in over loopback.
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

// downFaults is a platform that is away.
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

// bench is a platform stand-in and a place to run commands.
type bench struct {
	t         *testing.T
	store     *metastore.Store
	url       string
	path      string
	operators []string
	callers   []string
	// globals come before each command, and change alters each daemon's
	// settings; both may be empty.
	globals []string
	change  func(*settings.Settings)
}

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{t: t, store: metastore.New(), path: filepath.Join(t.TempDir(), "fleet.toml")}
	server := httptest.NewServer(b.store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	b.url = server.URL
	b.write(configuration)
	return b
}

func (b *bench) write(text string) {
	b.t.Helper()
	if err := os.WriteFile(b.path, []byte(text), 0o600); err != nil {
		b.t.Fatal(err)
	}
}

// run runs a command and returns its exit code and output.
func (b *bench) run(args ...string) (code int, stdout, stderr string) {
	b.t.Helper()
	globals := append([]string{"--platform-url", b.url, "--operator-token", operatorToken, "--timeout", "5s"}, b.globals...)
	for _, address := range b.operators {
		globals = append(globals, "--operator", address)
	}
	var out, errs bytes.Buffer
	code = command.Run(b.t.Context(), append(globals, args...), &out, &errs)
	return code, out.String(), errs.String()
}

// want runs a command and fails unless it ends with a code.
func (b *bench) want(code int, args ...string) (stdout, stderr string) {
	b.t.Helper()
	got, stdout, stderr := b.run(args...)
	if got != code {
		b.t.Fatalf("%q ended with %d, want %d\n%s%s", args, got, code, stdout, stderr)
	}
	return stdout, stderr
}

func (b *bench) contains(text string, wanted ...string) {
	b.t.Helper()
	for _, want := range wanted {
		if !strings.Contains(text, want) {
			b.t.Errorf("%q is not in:\n%s", want, text)
		}
	}
}

func TestConfigurationCommands(t *testing.T) {
	b := newBench(t)
	out, _ := b.want(command.ExitOK, "config", "check", b.path)
	b.contains(out, "valid:", "1 upstreams")
	_, errs := b.want(command.ExitFailure, "config", "show")
	b.contains(errs, "there is no configuration yet")
	b.want(command.ExitConflict, "config", "apply", b.path, "--expect", "7")
	b.want(command.ExitOK, "config", "apply", b.path, "--expect", "0")
	out, _ = b.want(command.ExitOK, "config", "show")
	b.contains(out, "# version 1, preset ordinary in force", "north-1")

	b.write(strings.Replace(configuration, "north-1", "north-2", 1) + "wieght = 1\n")
	_, errs = b.want(command.ExitFailure, "config", "check", b.path)
	b.contains(errs, b.path+":22:1: unknown key")
	b.write(strings.Replace(configuration, "north-1", "north-2", 1))
	out, _ = b.want(command.ExitOK, "config", "diff", b.path)
	b.contains(out, "- upstream north-1", "+ upstream north-2", "--expect 1")
	_, errs = b.want(command.ExitConflict, "config", "apply", b.path, "--expect", "0")
	b.contains(errs, "nothing was changed")
	out, _ = b.want(command.ExitOK, "--json", "config", "apply", b.path, "--expect", "1")
	b.contains(out, `"version": 2`, `"confirmed": true`)
	b.want(command.ExitOK, "preset", "use", "peak")
	out, _ = b.want(command.ExitOK, "preset", "list")
	b.contains(out, "peak      yes", "ordinary  no")
	b.want(command.ExitFailure, "preset", "use", "absent")
	out, _ = b.want(command.ExitOK, "--json", "upstream", "list")
	b.contains(out, `"name": "north-2"`, `"warm_limit": 16`, `"out": false`)
	b.want(command.ExitOK, "upstream", "out", "north-2")
	out, _ = b.want(command.ExitOK, "--json", "upstream", "list")
	b.contains(out, `"out": true`)
	b.want(command.ExitFailure, "datacentre", "out", "west")
	b.want(command.ExitUsage, "datacentre", "sideways", "north")
	b.want(command.ExitUsage, "vm", "out", "a b")
	b.want(command.ExitUsage, "status")
	b.want(command.ExitOK, "version")
}

func TestAnAPIKeyIsShownOnceAndOnlyItsDigestIsStored(t *testing.T) {
	b := newBench(t)
	b.want(command.ExitOK, "config", "apply", b.path, "--expect", "0")
	keyOf := func(args ...string) string {
		out, _ := b.want(command.ExitOK, append([]string{"--json"}, args...)...)
		var printed struct {
			Key string `json:"api_key"`
		}
		if err := json.Unmarshal([]byte(out), &printed); err != nil || len(printed.Key) < 40 {
			t.Fatalf("key %q, %v", printed.Key, err)
		}
		return printed.Key
	}
	first := keyOf("account", "add", "crews", "--weight", "2")
	b.want(command.ExitFailure, "account", "add", "crews")
	second := keyOf("account", "rotate-key", "crews")
	out, _ := b.want(command.ExitOK, "config", "show")
	b.contains(out, version.KeyDigest(first), version.KeyDigest(second))
	if strings.Contains(out, first) || strings.Contains(out, second) {
		t.Error("a key is stored")
	}
	third := keyOf("account", "rotate-key", "crews", "--drop-old")
	out, _ = b.want(command.ExitOK, "config", "show")
	b.contains(out, version.KeyDigest(third))
	if strings.Contains(out, version.KeyDigest(first)) || strings.Contains(out, version.KeyDigest(second)) {
		t.Error("a dropped key is still valid")
	}
	b.want(command.ExitFailure, "account", "rotate-key", "nobody")
	out, _ = b.want(command.ExitOK, "account", "list")
	b.contains(out, "crews    2       -     1")
}

func TestOnlyThePlatformsConfirmationCounts(t *testing.T) {
	b := newBench(t)
	b.want(command.ExitOK, "config", "apply", b.path, "--expect", "0")
	b.store.SetFaults(metastore.Faults{LoseWrites: true})
	out, _ := b.want(command.ExitOK, "preset", "use", "peak")
	b.contains(out, "version 2 confirmed")
	b.store.SetFaults(metastore.Down)
	_, errs := b.want(command.ExitUnconfirmed, "preset", "use", "ordinary")
	b.contains(errs, "nothing was changed")
	b.store.SetFaults(metastore.Faults{})
	out, _ = b.want(command.ExitOK, "preset", "list")
	b.contains(out, "peak      yes")
}

// startDaemons starts a daemon in each data centre; they end with the test.
func (b *bench) startDaemons(dataCentres ...version.DataCentreID) {
	b.t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var vms []client.VM
	for i, dataCentre := range dataCentres {
		s := settings.Default()
		s.VM, s.DataCentre = version.VMID(fmt.Sprintf("vm-%d", i+1)), dataCentre
		s.Callers.Listen, s.Peers.Listen, s.Operators.Listen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
		s.Callers.DrainGraceMS = 1
		s.Peers.Secret, s.Operators.Token = "fleet", operatorToken
		s.Platform.URL = b.url
		if b.change != nil {
			b.change(s)
		}
		daemon, err := app.New(s, slog.New(slog.DiscardHandler))
		if err != nil {
			b.t.Fatal(err)
		}
		b.operators = append(b.operators, daemon.OperatorsAddress())
		b.callers = append(b.callers, daemon.CallersAddress())
		vms = append(vms, client.VM{ID: s.VM, DataCentre: dataCentre, PeerAddress: daemon.PeersAddress(), State: client.VMLive})
		running.Go(func() {
			if err := daemon.Run(ctx); err != nil {
				b.t.Error(err)
			}
		})
	}
	b.store.SetVMs(vms)
	b.t.Cleanup(func() {
		stop()
		running.Wait()
	})
}

// daemon is one row of `status --json`.
type daemon struct {
	Status operator.Status `json:"status"`
}

// until waits until every daemon's status satisfies a condition.
func (b *bench) until(what string, holds func(operator.Status) bool) {
	b.t.Helper()
	var out string
	for range 300 {
		_, out, _ = b.run("--json", "status")
		var daemons []daemon
		if err := json.Unmarshal([]byte(out), &daemons); err != nil {
			b.t.Fatal(err)
		}
		all := len(daemons) == len(b.operators)
		for _, d := range daemons {
			all = all && holds(d.Status)
		}
		if all {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	b.t.Fatalf("never came: %s\n%s", what, out)
}

func TestADataCentreIsTakenOutWhileThePlatformIsAway(t *testing.T) {
	b := newBench(t)
	b.want(command.ExitOK, "config", "apply", b.path, "--expect", "0")
	b.startDaemons("north", "north", "north", "south")
	b.until("every daemon is ready and linked", func(s operator.Status) bool {
		return s.Ready && s.Configuration.Number == 1 && len(s.Members) == 3
	})
	// The order goes to one daemon only, and through it to the others.
	everyone := b.operators
	b.operators = everyone[:1]
	b.store.SetFaults(metastore.Down)
	out, errs := b.want(command.ExitUnconfirmed, "datacentre", "out", "north")
	b.contains(out, "in force in version 2")
	b.contains(errs, "write it into the platform once it answers")
	b.operators = everyone
	b.until("north is out everywhere", func(s operator.Status) bool {
		return len(s.Configuration.Out.DataCentres) == 1 && s.Ready == (s.DataCentre == "south")
	})
	b.store.SetFaults(metastore.Faults{})
	b.until("the platform has the order", func(s operator.Status) bool {
		return s.Configuration.Confirmed == 3 && len(s.Configuration.Orders) == 0
	})
	b.want(command.ExitOK, "datacentre", "in", "north")
	b.until("north is back", func(s operator.Status) bool {
		return s.Configuration.Number == 4 && s.Ready && len(s.Configuration.Out.DataCentres) == 0
	})

	b.until("north's dispatcher shows its upstream", func(s operator.Status) bool {
		return s.DataCentre == "south" || len(s.Pools) == 0 || s.Pools[0].Upstreams == 1
	})
	out, _ = b.want(command.ExitOK, "status")
	b.contains(out, "vm-1", "south", "ordinary", "SLOTS USED", "polish", "1 of 1")
	out, _ = b.want(command.ExitOK, "timeline", "--kind", "configured")
	var last timeline.Stamp
	lines := strings.Split(strings.TrimSpace(out), "\n")
	seen := make(map[version.VMID]bool)
	for _, line := range lines {
		var event timeline.Event
		if err := json.Unmarshal([]byte(line), &event); err != nil || event.Kind != timeline.KindConfigured {
			t.Fatalf("%q: %v", line, err)
		}
		if event.Stamp.Before(last) {
			t.Errorf("%v stands after %v", event.Stamp, last)
		}
		last, seen[event.VM] = event.Stamp, true
	}
	if len(seen) != 4 {
		t.Errorf("events of %v, want of four VMs", seen)
	}
	page := filepath.Join(t.TempDir(), "timeline.html")
	b.want(command.ExitOK, "timeline", "--html", page)
	if info, err := os.Stat(page); err != nil || info.Size() == 0 {
		t.Errorf("no page: %v", err)
	}
	b.operators = append(b.operators, "127.0.0.1:1")
	b.want(command.ExitFailure, "status")
	b.want(command.ExitFailure, "timeline")
	b.want(command.ExitUsage, "timeline", "--since", "soon")
}
