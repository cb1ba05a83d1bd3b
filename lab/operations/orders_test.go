package operations

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/cmd/trefoilctl/command"
	"github.com/trefoilwell/trefoilwell/daemon/process/operator"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/lab/metastore"
)

// postOrder sends an operator's order to the daemon at an address.
func (env *environment) postOrder(address, order string) {
	env.t.Helper()
	request, err := http.NewRequestWithContext(env.t.Context(), http.MethodPost, "http://"+address+operator.PathOrders, strings.NewReader(order))
	if err != nil {
		env.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		env.t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		env.t.Fatalf("order got status %d, want 200", response.StatusCode)
	}
}

// Guards against an order that has no effect because an earlier one was given by an operator
// whose clock is ahead.
func TestOrderSupersedesEarlierOnesRegardlessOfClocks(t *testing.T) {
	env := newEnvironment(t)
	env.expectExit(command.ExitOK, "config", "apply", env.path, "--expect", "0")
	env.startDaemons("north", "south")
	env.waitUntil("every daemon is ready and linked", func(s operator.Status) bool { return s.Ready && len(s.Members) == 1 })
	env.store.SetFaults(downFaults)
	// The order's time, in milliseconds, is centuries ahead.
	env.postOrder(env.operators[0], `{"operation":"ahead","ms":9999999999999,"target":"datacentre","name":"north","out":true}`)
	env.waitUntil("north is out of service", func(s operator.Status) bool { return len(s.Configuration.Out.DataCentres) == 1 })
	env.expectExit(command.ExitUnconfirmed, "datacentre", "in", "north", "--direct")
	env.waitUntil("north is back in service", func(s operator.Status) bool {
		return s.Ready && s.Configuration.Number == 3 && len(s.Configuration.Out.DataCentres) == 0
	})
}

// Guards against a new configuration that daemons ignore because the platform lost the old
// one and counts versions from 1 again: --above makes the new version higher than a number.
// A number below the current version has no effect.
func TestConfigurationLostByThePlatformIsReplaced(t *testing.T) {
	env := newEnvironment(t)
	env.expectExit(command.ExitOK, "config", "apply", env.path, "--expect", "0", "--above", "41")
	env.startDaemons("north")
	env.waitUntil("the daemon is ready with version 42", func(s operator.Status) bool { return s.Ready && s.Configuration.Number == 42 })
	env.expectExit(command.ExitOK, "config", "apply", env.path, "--expect", "42", "--above", "7")
	env.waitUntil("the daemon has version 43", func(s operator.Status) bool { return s.Configuration.Number == 43 })
}

// Guards against invalid weights, missing flags and malformed request identifiers that
// reach the stored configuration or a daemon.
func TestCommandsRefuseInvalidArguments(t *testing.T) {
	env := newEnvironment(t)
	env.expectExit(command.ExitOK, "config", "apply", env.path, "--expect", "0")
	for _, weight := range []string{"0", "-1", "NaN"} {
		env.expectExit(command.ExitUsage, "account", "add", "crews", "--weight="+weight)
	}
	env.expectExit(command.ExitFailure, "account", "add", "crews", "--weight=+Inf")
	env.expectExit(command.ExitUsage, "config", "apply", env.path)
	env.expectExit(command.ExitUsage, "datacentre", "out", "north", "--direct")
	env.expectExit(command.ExitUsage, "timeline", "--request", "nonsense")
	out, _ := env.expectExit(command.ExitOK, "--json", "account", "list")
	if strings.TrimSpace(out) != "[]" {
		t.Errorf("accounts are %s, want none", out)
	}
}

// Guards against a configuration that daemons have in force and the platform has lost with its
// return from an older copy: nobody wrote it again, and the next one got a number that the daemons
// took for old. The copy has an older version, or none.
func TestConfigurationLostWithAnOlderCopyIsWrittenAgain(t *testing.T) {
	env := newEnvironment(t)
	empty := env.store.Copy()
	env.expectExit(command.ExitOK, "config", "apply", env.path, "--expect", "0")
	older := env.store.Copy()
	env.startDaemons("north")
	env.expectExit(command.ExitOK, "config", "apply", env.path, "--expect", "1")
	env.expectExit(command.ExitOK, "config", "apply", env.path, "--expect", "2")
	number := version.Number(3)
	for _, restored := range []metastore.Copy{older, empty} {
		env.waitUntil("the daemon has the newest version", func(s operator.Status) bool { return s.Ready && s.Configuration.Number == number })
		env.store.Restore(restored)
		expect := strconv.FormatUint(uint64(number), 10)
		for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			code, _, stderr := env.run("config", "apply", env.path, "--expect", expect)
			if code == command.ExitOK {
				break
			}
			if time.Now().After(deadline) {
				t.Fatalf("version %s is not back in the platform: %s", expect, stderr)
			}
		}
		number++
	}
	env.waitUntil("the daemon has the version after the last return", func(s operator.Status) bool { return s.Configuration.Number == number })
}
