package placement

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// told is what another VM said of its work.
type told struct {
	at       time.Time
	read     map[version.UpstreamID]uint64
	accounts map[version.AccountID]wire.AccountWork
}

// load is another VM's work on one upstream.
type load struct {
	running int
	unread  int
	memory  int
	at      time.Time
}

// Report returns what the other VMs are to know of this one.
func (p *Placer) Report(now time.Time) wire.Work {
	var work wire.Work
	for _, pool := range p.byPool {
		for _, u := range pool {
			if u.readTotal == 0 && len(u.flights) == 0 {
				continue
			}
			work.Upstreams = append(work.Upstreams, wire.UpstreamWork{
				Upstream: u.ID,
				Running:  uint32(len(u.flights)),
				Unread:   uint32(u.unreadHere()),
				Read:     u.readTotal,
				Memory:   uint32(u.memoryHere()),
			})
		}
	}
	for id, use := range p.accounts.uses {
		if use.askedHere == 0 {
			continue
		}
		work.Accounts = append(work.Accounts, wire.AccountWork{
			Account: id,
			Asked:   uint64(use.askedHere),
			Served:  uint64(use.servedHere),
		})
	}
	return work
}

// Hear takes what another VM said of its work.
func (p *Placer) Hear(now time.Time, from version.VMID, work wire.Work) {
	before := p.others[from]
	next := &told{
		at:       now,
		read:     make(map[version.UpstreamID]uint64, len(work.Upstreams)),
		accounts: make(map[version.AccountID]wire.AccountWork, len(work.Accounts)),
	}
	for _, entry := range work.Upstreams {
		next.read[entry.Upstream] = entry.Read
		u := p.upstreams[entry.Upstream]
		if u == nil {
			continue
		}
		u.others[from] = load{
			running: int(entry.Running), unread: int(entry.Unread), memory: int(entry.Memory), at: now,
		}
		if before != nil && u.pool.Engine != nil {
			p.queueRead(now, u, since(before.read[entry.Upstream], entry.Read))
		}
	}
	for _, entry := range work.Accounts {
		next.accounts[entry.Account] = entry
		if before == nil {
			continue
		}
		known := before.accounts[entry.Account]
		p.accounts.add(now, entry.Account,
			float64(since(known.Asked, entry.Asked)), float64(since(known.Served, entry.Served)))
	}
	p.others[from] = next
}

// Forget drops what a VM said, after its link ended.
func (p *Placer) Forget(vm version.VMID) {
	delete(p.others, vm)
	for _, u := range p.upstreams {
		delete(u.others, vm)
	}
}

// queueRead adds prompt tokens to what an engine has to read.
func (p *Placer) queueRead(now time.Time, u *upstream, tokens uint64) {
	read := float64(tokens) / p.readRate(u.pool) * float64(time.Second) * u.currentPace(now)
	u.free = later(u.free, now).Add(time.Duration(read))
}

// since returns the growth of a total, which starts at 0 anew with its process.
func since(before, now uint64) uint64 {
	if now < before {
		return now
	}
	return now - before
}
