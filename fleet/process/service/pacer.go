package service

import (
	"cmp"
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// Interval is how often a daemon sends service sums.
	Interval = 250 * time.Millisecond
	// BytesPerSecond bounds what a daemon sends of service sums.
	BytesPerSecond = 300
	// burst is how many seconds of BytesPerSecond may be saved up.
	burst = 4
	// recordBytes and messageBytes are the typical encoded sizes of a record
	// and of what a message adds.
	recordBytes  = 20
	messageBytes = 8
	// backloggedInterval and idleInterval bound how often the same record is
	// sent, for accounts that wait and for others.
	backloggedInterval = Interval
	idleInterval       = 5 * time.Second
	// refreshInterval is when a record is sent again although nothing changed,
	// in case it was lost.
	refreshInterval = 15 * time.Second
)

// Channel is the purpose of a record.
type Channel uint8

const (
	// ChannelReport goes from a dispatcher's daemon to a home.
	ChannelReport Channel = iota
	// ChannelWord goes from a home to a dispatcher's daemon.
	ChannelWord
	// ChannelExchange goes from a home to one in another data centre.
	ChannelExchange
)

// Candidate is a record that could be sent.
type Candidate struct {
	Channel Channel
	To      version.VMID
	// Incarnation is that of the receiver, for a ChannelWord.
	Incarnation uint64
	// Partial is set for a ChannelWord that may lack sums.
	Partial bool
	Record  Record
}

// Pacer chooses which records to send within BytesPerSecond: those that
// changed most first. It is not safe for concurrent use.
type Pacer struct {
	sent   map[pacedKey]pacedState
	budget float64
	last   time.Time
}

type pacedKey struct {
	channel Channel
	to      version.VMID
	account version.AccountID
}

type pacedState struct {
	record Record
	at     time.Time
	// round is the last call that offered the record.
	round time.Time
}

// NewPacer returns a pacer that has sent nothing.
func NewPacer() *Pacer {
	return &Pacer{sent: make(map[pacedKey]pacedState), budget: burst * BytesPerSecond}
}

// Choose returns the candidates to send now, grouped by channel and receiver.
// It must be offered every record that could be sent; those of receivers that
// are offered no more are forgotten.
func (p *Pacer) Choose(now time.Time, candidates []Candidate) []Candidate {
	p.refill(now)
	due := p.due(now, candidates)
	slices.SortStableFunc(due, func(a, b dueCandidate) int { return cmp.Compare(b.change, a.change) })
	chosen := p.spend(now, due)
	p.forget(now)
	slices.SortStableFunc(chosen, func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(a.Channel, b.Channel),
			cmp.Compare(a.To, b.To),
			compareBools(a.Partial, b.Partial),
			cmp.Compare(a.Record.Account, b.Record.Account),
		)
	})
	return chosen
}

// Reset forgets what was sent to a daemon, so that it is told everything again.
func (p *Pacer) Reset(vm version.VMID) {
	for key := range p.sent {
		if key.to == vm {
			delete(p.sent, key)
		}
	}
}

type dueCandidate struct {
	Candidate
	change float64
}

// due returns the candidates that changed, or are to be refreshed.
func (p *Pacer) due(now time.Time, candidates []Candidate) []dueCandidate {
	var due []dueCandidate
	for _, c := range candidates {
		key := keyOf(c)
		state, known := p.sent[key]
		state.round = now
		if known {
			p.sent[key] = state
		}
		change := c.Record.change(state.record)
		age := now.Sub(state.at)
		switch {
		case !known && change == 0 && c.Channel != ChannelWord:
			continue
		case known && change == 0 && (age < refreshInterval || !c.Record.Backlogged):
			continue
		case known && age < interval(c.Record, state.record):
			continue
		}
		due = append(due, dueCandidate{Candidate: c, change: change})
	}
	return due
}

// interval returns the least time between two sendings of a record.
func interval(record, sent Record) time.Duration {
	if record.Backlogged || sent.Backlogged {
		return backloggedInterval
	}
	return idleInterval
}

func (p *Pacer) spend(now time.Time, due []dueCandidate) []Candidate {
	type receiver struct {
		channel Channel
		to      version.VMID
	}
	opened := make(map[receiver]bool)
	var chosen []Candidate
	for _, c := range due {
		cost := float64(recordBytes)
		if to := (receiver{c.Channel, c.To}); !opened[to] {
			opened[to] = true
			cost += messageBytes
		}
		if p.budget < cost {
			break
		}
		p.budget -= cost
		p.sent[keyOf(c.Candidate)] = pacedState{record: c.Record, at: now, round: now}
		chosen = append(chosen, c.Candidate)
	}
	return chosen
}

func (p *Pacer) refill(now time.Time) {
	if !p.last.IsZero() {
		p.budget += now.Sub(p.last).Seconds() * BytesPerSecond
	}
	p.budget = min(p.budget, burst*BytesPerSecond)
	p.last = now
}

func (p *Pacer) forget(now time.Time) {
	for key, state := range p.sent {
		if !state.round.Equal(now) {
			delete(p.sent, key)
		}
	}
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

func keyOf(c Candidate) pacedKey {
	return pacedKey{channel: c.Channel, to: c.To, account: c.Record.Account}
}
