package placement

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// told is what another VM said of its work.
type told struct {
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
func (p *Placer) Report() wire.Work {
	var work wire.Work
	for _, pool := range p.byPool {
		for _, u := range pool {
			if u.readTotal == 0 && len(u.flights) == 0 {
				continue
			}
			work.Upstreams = append(work.Upstreams, wire.UpstreamWork{
				Upstream: u.ID,
				Running:  uint32(len(u.flights)),
				Unread:   uint32(u.unread),
				Read:     u.readTotal,
				Memory:   uint32(u.memory),
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

// Hear takes what another VM said of its work. Without use, it is only noted as
// the point from which a later one counts.
func (p *Placer) Hear(now time.Time, from version.VMID, work wire.Work, use bool) {
	before, counts := p.others[from], use
	if before == nil {
		before = &told{
			read:     make(map[version.UpstreamID]uint64, len(work.Upstreams)),
			accounts: make(map[version.AccountID]wire.AccountWork, len(work.Accounts)),
		}
		p.others[from], counts = before, false
	}
	for _, entry := range work.Upstreams {
		grown := wire.Growth(before.read[entry.Upstream], entry.Read)
		before.read[entry.Upstream] = entry.Read
		u := p.upstreams[entry.Upstream]
		if u == nil || !use {
			continue
		}
		u.hear(from, load{
			running: int(entry.Running), unread: int(entry.Unread), memory: int(entry.Memory), at: now,
		})
		if counts && u.pool.Engine != nil {
			p.queueRead(now, u, grown)
			u.flow.add(now, float64(grown), time.Duration(work.AgeMS)*time.Millisecond)
		}
	}
	for _, entry := range work.Accounts {
		known := before.accounts[entry.Account]
		before.accounts[entry.Account] = entry
		if counts {
			p.accounts.add(now, entry.Account,
				float64(wire.Growth(known.Asked, entry.Asked)), float64(wire.Growth(known.Served, entry.Served)))
		}
	}
}

// Forget drops what a VM said, after its link ended.
func (p *Placer) Forget(vm version.VMID) {
	delete(p.others, vm)
	for _, u := range p.upstreams {
		delete(u.others, vm)
		u.othersUntil = time.Time{}
	}
}

// queueRead adds prompt tokens to what an engine has to read.
func (p *Placer) queueRead(now time.Time, u *upstream, tokens uint64) {
	read := float64(tokens) / p.readRate(u.pool) * float64(time.Second) * u.currentPace(now)
	u.free = later(u.free, now).Add(time.Duration(read))
}
