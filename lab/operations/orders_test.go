package operations

import (
	"net/http"
	"strings"
	"testing"

	"github.com/trefoilwell/trefoilwell/daemon/cmd/trefoilctl/command"
	"github.com/trefoilwell/trefoilwell/daemon/process/operator"
)

// give hands an order to a daemon.
func (b *bench) give(address, order string) {
	b.t.Helper()
	request, err := http.NewRequestWithContext(b.t.Context(), http.MethodPost, "http://"+address+operator.PathOrders, strings.NewReader(order))
	if err != nil {
		b.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		b.t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		b.t.Fatalf("status %d", response.StatusCode)
	}
}

func TestAnOrderCountsAfterEarlierOnesWhateverTheClocksSay(t *testing.T) {
	b := newBench(t)
	b.want(command.ExitOK, "config", "apply", b.path, "--expect", "0")
	b.startDaemons("north", "south")
	b.until("ready", func(s operator.Status) bool { return s.Ready && len(s.Members) == 1 })
	b.store.SetFaults(downFaults)
	// This operator's clock is centuries ahead.
	b.give(b.operators[0], `{"operation":"ahead","ms":9999999999999,"target":"datacentre","name":"north","out":true}`)
	b.until("north is out", func(s operator.Status) bool { return len(s.Configuration.Out.DataCentres) == 1 })
	b.want(command.ExitUnconfirmed, "datacentre", "in", "north", "--direct")
	b.until("north is back", func(s operator.Status) bool {
		return s.Ready && s.Configuration.Number == 3 && len(s.Configuration.Out.DataCentres) == 0
	})
}

func TestAConfigurationLostByThePlatformIsReplaced(t *testing.T) {
	b := newBench(t)
	b.want(command.ExitOK, "config", "apply", b.path, "--expect", "0", "--above", "41")
	b.startDaemons("north")
	b.until("ready", func(s operator.Status) bool { return s.Ready && s.Configuration.Number == 42 })
	b.want(command.ExitOK, "config", "apply", b.path, "--expect", "42", "--above", "7")
	b.until("the next one", func(s operator.Status) bool { return s.Configuration.Number == 43 })
}

func TestCommandsRefuseWhatCannotBe(t *testing.T) {
	b := newBench(t)
	b.want(command.ExitOK, "config", "apply", b.path, "--expect", "0")
	for _, weight := range []string{"0", "-1", "NaN"} {
		b.want(command.ExitUsage, "account", "add", "crews", "--weight="+weight)
	}
	b.want(command.ExitFailure, "account", "add", "crews", "--weight=+Inf")
	b.want(command.ExitUsage, "config", "apply", b.path)
	b.want(command.ExitUsage, "datacentre", "out", "north", "--direct")
	b.want(command.ExitUsage, "timeline", "--request", "nonsense")
	out, _ := b.want(command.ExitOK, "--json", "account", "list")
	if strings.TrimSpace(out) != "[]" {
		t.Errorf("accounts %s, want none", out)
	}
}
