package service

import (
	"cmp"
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// ReportInterval is how often a daemon sends service records.
	ReportInterval = 250 * time.Millisecond
	// BytesPerSecond bounds the service records that a daemon sends, in bytes
	// per second.
	BytesPerSecond = 300
	// burstSeconds is how many seconds of unused budget accumulate at most.
	burstSeconds = 4
	// recordBytes and messageBytes are the typical encoded sizes of a record
	// and of the overhead of a message.
	recordBytes  = 20
	messageBytes = 8
	// backloggedInterval and idleInterval are the minimum time between two
	// transmissions of the same record, for backlogged accounts and for others.
	backloggedInterval = ReportInterval
	idleInterval       = 5 * time.Second
	// refreshInterval is the age at which an unchanged record of a backlogged
	// account is sent again, in case it was lost.
	refreshInterval = 15 * time.Second
)

// Channel is the purpose of a record, which determines the message that carries
// it.
type Channel uint8

const (
	// ChannelReport carries a count from a dispatcher's daemon to the account's
	// home.
	ChannelReport Channel = iota
	// ChannelLevels carries a home's report to a dispatcher's daemon.
	ChannelLevels
	// ChannelDataCentreSum carries a data centre's sum from its home to the home
	// in another data centre.
	ChannelDataCentreSum
)

// Candidate is a record that may be sent.
type Candidate struct {
	Channel Channel
	To      version.VMID
	// Incarnation is the incarnation of the receiver, for ChannelLevels.
	Incarnation uint64
	// Partial is set for a ChannelLevels record that may lack the sums of other
	// data centres.
	Partial bool
	Record  Record
}

// Pacer chooses the records to send within BytesPerSecond, those with the
// largest change first. It is not safe for concurrent use.
type Pacer struct {
	sent        map[recordKey]sentRecord
	budgetBytes float64
	lastRefill  time.Time
}

// recordKey identifies a record by its channel, receiver and account.
type recordKey struct {
	channel Channel
	to      version.VMID
	account version.AccountID
}

// sentRecord is the record that was last sent and when.
type sentRecord struct {
	record Record
	sentAt time.Time
	// offeredAt is the time of the last call of Choose that offered the record.
	offeredAt time.Time
}

// NewPacer returns a pacer with a full budget.
func NewPacer() *Pacer {
	return &Pacer{sent: make(map[recordKey]sentRecord), budgetBytes: burstSeconds * BytesPerSecond}
}

// Choose returns the candidates to send now, grouped by channel and receiver.
// Each call must offer every record that may be sent: a record that is not
// offered is forgotten.
func (p *Pacer) Choose(now time.Time, candidates []Candidate) []Candidate {
	p.refill(now)
	due := p.due(now, candidates)
	slices.SortStableFunc(due, func(a, b dueCandidate) int { return cmp.Compare(b.change, a.change) })
	chosen := p.selectWithinBudget(now, due)
	p.forgetUnoffered(now)
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

// Reset forgets what was sent to a daemon, so that every record is sent to it
// again.
func (p *Pacer) Reset(vm version.VMID) {
	for key := range p.sent {
		if key.to == vm {
			delete(p.sent, key)
		}
	}
}

// dueCandidate is a candidate with its change since it was last sent, in
// weighted cost units.
type dueCandidate struct {
	Candidate
	change float64
}

// due returns the candidates that changed or are to be refreshed, and whose
// minimum interval has passed.
func (p *Pacer) due(now time.Time, candidates []Candidate) []dueCandidate {
	var due []dueCandidate
	for _, c := range candidates {
		key := keyOf(c)
		state, sentBefore := p.sent[key]
		state.offeredAt = now
		if sentBefore {
			p.sent[key] = state
		}
		change := c.Record.difference(state.record)
		age := now.Sub(state.sentAt)
		switch {
		case !sentBefore && change == 0 && c.Channel != ChannelLevels:
			continue
		case sentBefore && change == 0 && (age < refreshInterval || !c.Record.Backlogged):
			continue
		case sentBefore && age < minInterval(c.Record, state.record):
			continue
		}
		due = append(due, dueCandidate{Candidate: c, change: change})
	}
	return due
}

// minInterval returns the minimum time between two transmissions of a record.
func minInterval(record, sent Record) time.Duration {
	if record.Backlogged || sent.Backlogged {
		return backloggedInterval
	}
	return idleInterval
}

// selectWithinBudget takes candidates in order while the budget lasts and notes
// them as sent. The first record to a receiver also costs the overhead of a
// message.
func (p *Pacer) selectWithinBudget(now time.Time, due []dueCandidate) []Candidate {
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
		if p.budgetBytes < cost {
			break
		}
		p.budgetBytes -= cost
		p.sent[keyOf(c.Candidate)] = sentRecord{record: c.Record, sentAt: now, offeredAt: now}
		chosen = append(chosen, c.Candidate)
	}
	return chosen
}

// refill adds the budget for the time since the last call, up to burstSeconds.
func (p *Pacer) refill(now time.Time) {
	if !p.lastRefill.IsZero() {
		p.budgetBytes += now.Sub(p.lastRefill).Seconds() * BytesPerSecond
	}
	p.budgetBytes = min(p.budgetBytes, burstSeconds*BytesPerSecond)
	p.lastRefill = now
}

// forgetUnoffered drops the records that the present call of Choose did not
// offer.
func (p *Pacer) forgetUnoffered(now time.Time) {
	for key, state := range p.sent {
		if !state.offeredAt.Equal(now) {
			delete(p.sent, key)
		}
	}
}

// compareBools orders false before true.
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

// keyOf returns the key of a candidate's record.
func keyOf(c Candidate) recordKey {
	return recordKey{channel: c.Channel, to: c.To, account: c.Record.Account}
}
