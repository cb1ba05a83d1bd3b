package placement

import (
	"math"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Guards against totals of another VM that cannot be: one message must neither end the
// process nor keep an engine or an account out.
func FuzzHear(f *testing.F) {
	f.Add(uint32(1), uint32(2), uint64(3), uint64(4), uint64(5), uint32(6))
	f.Add(uint32(math.MaxUint32), uint32(math.MaxUint32), uint64(math.MaxUint64), uint64(math.MaxUint64), uint64(1<<62), uint32(math.MaxUint32))
	f.Add(uint32(0), uint32(0), uint64(1<<40), uint64(0), uint64(1<<53), uint32(0))
	f.Fuzz(func(t *testing.T, running, unread uint32, read, asked, served uint64, age uint32) {
		const account = version.AccountID(1)
		p := newFleet(1, nil)
		var id version.UpstreamID
		for id = range p.upstreams {
			break
		}
		work := func(factor uint64) wire.Work {
			return wire.Work{
				Upstreams: []wire.UpstreamWork{{Upstream: id, Running: running, Unread: unread, Read: read * factor, Memory: unread}},
				Accounts:  []wire.AccountWork{{Account: account, Asked: asked * factor, Served: served * factor}},
				AgeMS:     age,
			}
		}
		p.Hear(p.now, "other", work(0), true)
		p.Hear(p.now, "other", work(1), true)
		// What it told is used for a while; then the engine has to serve again.
		p.now = p.now.Add(time.Minute)
		if _, refusal := p.Place(p.now, p.ticket(account, 1, 100, 50)); refusal != nil {
			t.Errorf("a minute later: %v", refusal)
		}
		if had := p.accounts.standing(p.now, account); math.IsNaN(had.used) || math.IsInf(had.used, 0) {
			t.Errorf("account had %+v", had)
		}
	})
}
