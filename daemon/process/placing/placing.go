// Package placing lets the goroutines of a process share one placement.Placer and its
// exchange of load reports with other processes.
package placing

import (
	"cmp"
	"context"
	"log/slog"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/process/clock"
	"github.com/trefoilwell/trefoilwell/daemon/process/operator"
	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/process/exchange"
	"github.com/trefoilwell/trefoilwell/fleet/process/placement"
	"github.com/trefoilwell/trefoilwell/fleet/process/rollout"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Placer guards a placement.Placer and an exchange.Reporter with one mutex. It is safe for
// concurrent use.
type Placer struct {
	// lag returns the scheduling lag of the process.
	lag    func() time.Duration
	log    *slog.Logger
	config atomic.Pointer[version.Config]
	nextID atomic.Uint64

	mu       sync.Mutex
	placer   *placement.Placer
	reporter *exchange.Reporter
	// rollouts is nil where rollouts are not active. withdrawn counts the attempts that it did not
	// permit any more when they were about to be sent.
	rollouts  *rollout.Controller
	withdrawn uint64
}

// New returns a Placer that owns placer and reporter: no other code may use them. lag
// returns the scheduling lag of the process.
func New(placer *placement.Placer, reporter *exchange.Reporter, lag func() time.Duration, log *slog.Logger) *Placer {
	return &Placer{placer: placer, reporter: reporter, lag: lag, log: log}
}

// SetMembers sets the processes of the fleet and returns the VMs to keep links with.
func (p *Placer) SetMembers(members []exchange.Member) []version.VMID {
	p.mu.Lock()
	defer p.mu.Unlock()
	vms := make([]version.VMID, 0, len(members))
	for _, member := range members {
		vms = append(vms, member.VM)
	}
	p.placer.SetMembers(time.Now(), vms)
	if p.rollouts != nil {
		p.rollouts.SetMembers(clock.Boot(), vms)
	}
	p.reporter.SetMembers(members)
	return p.reporter.Peers()
}

// Relays returns the VMs to which a message for the whole fleet is passed on that came from another
// VM, or is this VM's own.
func (p *Placer) Relays(from version.VMID) []version.VMID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.reporter.Relays(from))
}

// SetStreamVersions sets the software versions at which streams may begin that callers may take up
// again.
func (p *Placer) SetStreamVersions(versions map[version.PoolID][]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placer.SetStreamVersions(versions)
	if p.rollouts != nil {
		p.rollouts.SetStreamVersions(versions)
	}
}

// Leave gives up this process's fraction of the limits of cold upstreams, which the other
// processes take over once they know that it has left.
func (p *Placer) Leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placer.Leave()
}

// Configure applies a configuration with its upstreams.
func (p *Placer) Configure(config *version.Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placer.Configure(time.Now(), config)
	if p.rollouts != nil {
		p.rollouts.Configure(clock.Boot(), config)
	}
	p.config.Store(config)
}

// Config returns the active configuration, or nil before the first one.
func (p *Placer) Config() *version.Config { return p.config.Load() }

// NewID returns a request ID that this process has not used before.
func (p *Placer) NewID() request.ID { return request.ID(p.nextID.Add(1)) }

// Acquire grants an upstream for the ticket or refuses it, without waiting.
func (p *Placer) Acquire(_ context.Context, ticket request.Ticket) (request.Grant, *request.Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.logNotices("")
	p.rule(&ticket)
	return p.placer.Place(time.Now(), ticket)
}

// RecordRequest counts a request that was refused before it was placed in the demand of its account.
func (p *Placer) RecordRequest(ticket request.Ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placer.RecordRequest(time.Now(), ticket)
}

// Ahead reports whether an account is so far ahead of its share that it is served only where no request waits.
func (p *Placer) Ahead(account version.AccountID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.placer.Ahead(time.Now(), account)
}

// Explain tells where Acquire would send the ticket now, and changes nothing.
func (p *Placer) Explain(ticket request.Ticket) placement.Explanation {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rollouts != nil {
		ticket.Rule = p.rollouts.Foresee(clock.Boot(), ticket)
	}
	return p.placer.Explain(time.Now(), ticket)
}

// RecordAdvice records what an upstream's answer says of its availability (drain, pause, rate
// limit). requestID is the identifier that the caller gave to the request, for the log; sentAt is
// when the request was sent.
func (p *Placer) RecordAdvice(upstream version.UpstreamID, requestID string, sentAt time.Time, advice request.Advice) {
	if advice.Invalid != "" {
		p.log.Warn("upstream's advice is odd", "upstream", p.name(upstream), "request", requestID,
			"value", advice.Invalid, "pause_ms", advice.Pause.Milliseconds())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placer.RecordAdvice(time.Now(), upstream, sentAt, advice)
	p.logNotices(requestID)
}

// UpstreamDeclines reports whether the advice of an upstream keeps requests away from it now.
func (p *Placer) UpstreamDeclines(id version.UpstreamID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.placer.UpstreamDeclines(time.Now(), id)
}

// logNotices logs which upstreams are avoided or used again since the last call. requestID
// identifies the request whose answer caused it; empty if there is none.
// mu must be held, which is safe since the log does not block.
func (p *Placer) logNotices(requestID string) {
	for _, notice := range p.placer.Notices() {
		if notice.Leaving || notice.Pause > 0 {
			p.log.Info("upstream is left alone", "upstream", p.name(notice.Upstream), "request", requestID,
				"source", "its answer", "leaving", notice.Leaving, "pause_ms", notice.Pause.Milliseconds())
			continue
		}
		if notice.Limit.State != request.LimitUnsaid {
			source := "its answer"
			if notice.Hearsay {
				source = "another VM"
			}
			p.log.Info("upstream's limit has changed", "upstream", p.name(notice.Upstream), "request", requestID,
				"source", source, "limited", notice.Limit.State == request.LimitNamed,
				"per_second", notice.Limit.PerSecond, "age_ms", notice.Age.Milliseconds())
			continue
		}
		p.log.Info("upstream is used again", "upstream", p.name(notice.Upstream),
			"source", "its pause is over", "age_ms", notice.Age.Milliseconds())
	}
}

// name returns the name of an upstream; empty if it is no longer registered.
func (p *Placer) name(id version.UpstreamID) string {
	if config := p.Config(); config != nil && config.Upstreams[id] != nil {
		return config.Upstreams[id].Name
	}
	return ""
}

// Limits returns the limits that upstreams name now.
func (p *Placer) Limits() []operator.UpstreamLimit {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	list := []operator.UpstreamLimit{}
	for _, limit := range p.placer.Limits(now) {
		list = append(list, operator.UpstreamLimit{
			Upstream: limit.Name, PerSecond: limit.PerSecond, Since: limit.Since.Round(0),
			AgeMS: now.Sub(limit.ObservedAt).Milliseconds(), Hearsay: limit.Hearsay,
			Sent: limit.Sent, Quota: limit.Quota, FleetSent: limit.FleetSent,
		})
	}
	return list
}

// RecordLoad records the load that an upstream reported with an answer.
func (p *Placer) RecordLoad(at version.UpstreamID, load request.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placer.RecordLoad(time.Now(), at, load)
}

// RecordFirstByte records the first event of a stream, or the head of another answer.
func (p *Placer) RecordFirstByte(grant request.Grant, event bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placer.RecordFirstByte(time.Now(), grant.ID, grant.Upstream, event, p.lag())
}

// RecordCrash records that an upstream has crashed.
func (p *Placer) RecordCrash(id version.UpstreamID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placer.RecordCrash(time.Now(), id)
}

// Readers returns the VMs that read the platform's store on behalf of this one, the
// preferred one first.
func (p *Placer) Readers() []version.VMID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reporter.StoreReaders()
}

// Lenders returns the VMs that read the platform's store for themselves and may pass what
// they read on to this one.
func (p *Placer) Lenders() []version.VMID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reporter.StoreSources()
}

// Outbox returns the load reports to send to other VMs.
func (p *Placer) Outbox() []exchange.Message {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	return p.reporter.Outbox(now, p.placer.Report())
}

// ReceiveReport records a load report of another VM.
func (p *Placer) ReceiveReport(from version.VMID, report wire.LoadReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.placer.ReceiveReport(now, from, report, p.reporter.Receive(now, from, report))
}

// LimitOutbox returns the limit reports to send to other VMs; none while no limit is known.
func (p *Placer) LimitOutbox() []exchange.LimitMessage {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	return p.reporter.LimitOutbox(now, p.placer.LimitReport(now))
}

// ReceiveLimits records a limit report of another VM.
func (p *Placer) ReceiveLimits(from version.VMID, report wire.LimitReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if scope, used := p.reporter.ReceiveLimits(now, from, report); used {
		p.placer.ReceiveLimits(now, scope, report)
		p.logNotices("")
	}
}

// maxListedPaces is the number of upstreams whose paces the metrics list.
const maxListedPaces = 32

// Paces is what the metrics tell of the paces that upstreams report.
type Paces struct {
	// Upstreams is the number of upstreams with a pace that changes predictions at present.
	Upstreams int `json:"upstreams"`
	// Furthest are those whose pace changes them most.
	Furthest []UpstreamPace `json:"furthest"`
}

// UpstreamPace is the pace of one upstream.
type UpstreamPace struct {
	Upstream string  `json:"upstream"`
	Percent  int     `json:"percent"`
	AgeMS    int64   `json:"age_ms"`
	Factor   float64 `json:"factor"`
}

// Paces returns the paces that upstreams report.
func (p *Placer) Paces() Paces {
	p.mu.Lock()
	list := p.placer.Paces(time.Now())
	p.mu.Unlock()
	slices.SortFunc(list, func(a, b placement.PaceStatus) int {
		return cmp.Or(cmp.Compare(math.Abs(b.Factor-1), math.Abs(a.Factor-1)), cmp.Compare(a.Name, b.Name))
	})
	paces := Paces{Upstreams: len(list), Furthest: []UpstreamPace{}}
	for _, pace := range list[:min(len(list), maxListedPaces)] {
		paces.Furthest = append(paces.Furthest, UpstreamPace{
			Upstream: pace.Name, Percent: pace.Percent, AgeMS: pace.Age.Milliseconds(), Factor: pace.Factor,
		})
	}
	return paces
}

// maxListedAccounts is the number of accounts whose shares the metrics list, and of further ones that
// are refused below their share.
const maxListedAccounts = 8

// Shares is what this process takes the usage of accounts over the whole fleet to be, in the
// window in which it is compared.
type Shares struct {
	FairShareTokens float64        `json:"fair_share_tokens"`
	Accounts        []AccountShare `json:"accounts"`
}

// AccountShare is the usage of one account.
type AccountShare struct {
	Account         string  `json:"account"`
	RequestedTokens float64 `json:"requested_tokens"`
	GrantedTokens   float64 `json:"granted_tokens"`
	ShareUsed       float64 `json:"share_used"`
	// RefusedBelowShareTokens is what this process refused while the account was below its share.
	RefusedBelowShareTokens float64 `json:"refused_below_share_tokens"`
}

// Shares returns the accounts that requested most, or are refused below their share, with their shares.
func (p *Placer) Shares() Shares {
	p.mu.Lock()
	fairShare, list := p.placer.Shares(time.Now(), maxListedAccounts)
	p.mu.Unlock()
	shares := Shares{FairShareTokens: math.Round(fairShare), Accounts: make([]AccountShare, 0, len(list))}
	config := p.Config()
	for _, share := range list {
		name := ""
		if config != nil && config.Accounts[share.Account] != nil {
			name = config.Accounts[share.Account].Name
		}
		shares.Accounts = append(shares.Accounts, AccountShare{
			Account: name, RequestedTokens: math.Round(share.Requested), GrantedTokens: math.Round(share.Granted), ShareUsed: share.ShareUsed,
			RefusedBelowShareTokens: math.Round(share.RefusedBelowShare),
		})
	}
	return shares
}

// PoolSpread tells how the prompts of a pool spread over its engines.
type PoolSpread struct {
	Displaced float64 `json:"displaced"`
	Sample    int     `json:"sample"`
}

// Spread returns how prompts spread over engines, by pool.
func (p *Placer) Spread() map[string]PoolSpread {
	p.mu.Lock()
	defer p.mu.Unlock()
	pools := make(map[string]PoolSpread)
	for _, pool := range p.placer.Spread() {
		pools[pool.Pool] = PoolSpread{Displaced: pool.Displaced, Sample: pool.Sample}
	}
	return pools
}

// PaceOutbox returns the pace reports to send to other VMs; none while no upstream reports a pace.
func (p *Placer) PaceOutbox() []exchange.PaceMessage {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	return p.reporter.PaceOutbox(now, p.placer.PaceReport(now))
}

// ReceivePaces records a pace report of another VM.
func (p *Placer) ReceivePaces(from version.VMID, report wire.PaceReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.reporter.ReceivePaces(now, from, report) {
		p.placer.ReceivePaces(now, report)
	}
}

// UpstreamCount returns the number of upstreams that the placer keeps state of.
func (p *Placer) UpstreamCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.placer.UpstreamCount()
}

// ForgetReports drops the load reports of a VM.
func (p *Placer) ForgetReports(from version.VMID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placer.Forget(from)
}

// Charge implements relay.Accounting. It does nothing: service is charged when a request
// is granted.
func (p *Placer) Charge(request.ID, version.AccountID, request.Cost) {}

// End implements relay.Accounting: it records the outcome of an attempt.
func (p *Placer) End(finish request.Finish) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placer.RecordOutcome(time.Now(), finish)
}
