package placement

import (
	"math"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Guards against impossible totals in the report of another VM: one message must neither panic
// nor keep an engine or an account from being served.
func FuzzReceiveReport(f *testing.F) {
	f.Add(uint32(1), uint32(2), uint64(3), uint64(4), uint64(5), uint32(6))
	f.Add(uint32(math.MaxUint32), uint32(math.MaxUint32), uint64(math.MaxUint64), uint64(math.MaxUint64), uint64(1<<62), uint32(math.MaxUint32))
	f.Add(uint32(0), uint32(0), uint64(1<<40), uint64(0), uint64(1<<53), uint32(0))
	f.Fuzz(func(t *testing.T, running, pendingPrefill uint32, prefill, requested, granted uint64, age uint32) {
		const account = version.AccountID(1)
		p := newFixture(1, nil)
		var id version.UpstreamID
		for id = range p.upstreams {
			break
		}
		report := func(factor uint64) wire.LoadReport {
			return wire.LoadReport{
				Upstreams: []wire.UpstreamLoad{{Upstream: id, Running: running, PendingPromptTokens: pendingPrefill, UncachedPromptTokens: prefill * factor, KVTokens: pendingPrefill}},
				Accounts:  []wire.AccountUsage{{Account: account, RequestedTokens: requested * factor, ServedTokens: granted * factor}},
				AgeMS:     age,
			}
		}
		p.ReceiveReport(p.now, "other", report(0), true)
		p.ReceiveReport(p.now, "other", report(1), true)
		// After peerLoadTTL the report is no longer used, and the engine must serve again.
		p.now = p.now.Add(time.Minute)
		if _, refusal := p.Place(p.now, p.ticket(account, 1, 100, 50)); refusal != nil {
			t.Errorf("refused a minute after the report: %v", refusal)
		}
		if usage := p.usage.relativeUsage(p.now, account); math.IsNaN(usage.shareUsed) || math.IsInf(usage.shareUsed, 0) {
			t.Errorf("usage of the account is not a finite number: %+v", usage)
		}
	})
}
