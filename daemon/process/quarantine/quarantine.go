// Package quarantine keeps requests that crash upstreams away from them. It feeds
// a quarantine.Tracker with the outcomes of attempts, checks which upstreams have crashed, and
// exchanges the evidence with the other daemons of the fleet.
package quarantine

import (
	"cmp"
	"context"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
	"github.com/trefoilwell/trefoilwell/daemon/request/serve"
	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/process/quarantine"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// tickInterval is the time between two judgements of the evidence, and between two messages to
// other daemons.
const tickInterval = 100 * time.Millisecond

// Sender sends messages to other daemons.
type Sender interface {
	// Send reports whether the message could be sent.
	Send(to version.VMID, message wire.Message) bool
}

// Options configure a Quarantine.
type Options struct {
	VM version.VMID
	// Config returns the active configuration, or nil before the first one.
	Config func() *version.Config
	// Dial opens a connection to an upstream; default net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnCrash is called when this daemon learns of a crash; the default does nothing. It must
	// not block.
	OnCrash func(version.UpstreamID)
	Log     *slog.Logger
}

// Quarantine is the daemon's part of the fleet's quarantine. It is safe for concurrent use.
type Quarantine struct {
	options Options
	// checks are the upstreams whose connections broke off and that may have crashed.
	checks chan version.UpstreamID

	mu      sync.Mutex
	tracker *quarantine.Tracker
	// passes are the requests in progress.
	passes map[*pass]struct{}
	// disconnects are the upstreams that ended connections and may have crashed.
	disconnects map[version.UpstreamID]*disconnect
	// linked are the daemons to which messages are sent, by sender.
	linked map[version.VMID]struct{}
	sender Sender
	// refused counts the requests that were refused, crashed the crashes that this daemon saw,
	// and dropped the checks for which there was no room.
	refused, crashed, dropped uint64
}

// New returns a Quarantine that is started by Run and Check.
func New(options Options) *Quarantine {
	if options.Dial == nil {
		options.Dial = (&net.Dialer{}).DialContext
	}
	if options.OnCrash == nil {
		options.OnCrash = func(version.UpstreamID) {}
	}
	return &Quarantine{
		options:     options,
		checks:      make(chan version.UpstreamID, maxPendingChecks),
		tracker:     quarantine.New(quarantine.Options{Self: options.VM}),
		passes:      make(map[*pass]struct{}),
		disconnects: make(map[version.UpstreamID]*disconnect),
		linked:      make(map[version.VMID]struct{}),
	}
}

// SetMembers sets the VMs of the fleet, which divide the trials of what is held.
func (q *Quarantine) SetMembers(members []version.VMID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tracker.SetMembers(members)
}

// Run judges the evidence and tells the other daemons of it until ctx ends.
func (q *Quarantine) Run(ctx context.Context) error {
	for {
		q.tick()
		if err := wait.Sleep(ctx, tickInterval); err != nil {
			return err
		}
	}
}

func (q *Quarantine) tick() {
	q.mu.Lock()
	now := time.Now()
	q.expireDisconnects(now)
	messages := q.tracker.Tick(now).List()
	q.applyNotices(now)
	var peers []version.VMID
	if len(messages) > 0 {
		for vm := range q.linked {
			peers = append(peers, vm)
		}
	}
	sender := q.sender
	q.mu.Unlock()
	for _, vm := range peers {
		// A daemon whose link is lost is told everything when it is linked again.
		sendAll(sender, vm, messages)
	}
}

func sendAll(sender Sender, vm version.VMID, messages []wire.Message) {
	for _, message := range messages {
		sender.Send(vm, message)
	}
}

// LinkUp tells a daemon that has just been linked what this one knows. From then on it is told
// what is new.
func (q *Quarantine) LinkUp(vm version.VMID, sender Sender) {
	q.mu.Lock()
	q.sender = sender
	q.linked[vm] = struct{}{}
	messages := q.tracker.All(time.Now()).List()
	q.mu.Unlock()
	sendAll(sender, vm, messages)
}

// LinkDown ends the messages to a daemon whose link is lost.
func (q *Quarantine) LinkDown(vm version.VMID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.linked, vm)
}

// Receive adds what another daemon knows of prompt segments.
func (q *Quarantine) Receive(message wire.PromptEvidence) {
	q.merge(func(now time.Time) { q.tracker.Merge(now, message) })
}

// ReceiveRequests adds what another daemon knows of requests.
func (q *Quarantine) ReceiveRequests(message wire.RequestEvidence) {
	q.merge(func(now time.Time) { q.tracker.MergeRequests(now, message) })
}

func (q *Quarantine) merge(add func(now time.Time)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	add(now)
	q.applyNotices(now)
	q.reportCrashes()
}

// reportCrashes calls Options.OnCrash for the crashes that became known. mu must be held.
func (q *Quarantine) reportCrashes() {
	for _, id := range q.tracker.NewCrashes() {
		q.options.OnCrash(id)
	}
}

// applyNotices logs what is held or no longer held, and ends the requests that are held now. mu
// must be held.
func (q *Quarantine) applyNotices(now time.Time) {
	notices := q.tracker.Notices()
	if len(notices) == 0 {
		return
	}
	for _, notice := range notices {
		hold := notice.Hold
		if notice.Cause == quarantine.CauseNone {
			q.options.Log.Warn(logText(hold.Subject, "prompt segment is held", "request is held"), subjectAttribute(hold.Subject), slog.Int("crashes", hold.Crashes),
				slog.Any("upstreams", q.upstreamNames(hold.Upstreams)), slog.Uint64("verdict", uint64(hold.Round)), slog.Int64("last_crash_ms", now.Sub(hold.LastCrash).Milliseconds()))
			continue
		}
		q.options.Log.Info(logText(hold.Subject, "prompt segment is released", "request is released"), subjectAttribute(hold.Subject), slog.String("cause", notice.Cause.String()),
			slog.Int64("held_ms", now.Sub(hold.Since).Milliseconds()), slog.Uint64("refused", hold.Refused), slog.Int("trials", hold.Trials))
	}
	for p := range q.passes {
		p.endIfHeld()
	}
}

func (q *Quarantine) upstreamNames(ids []version.UpstreamID) []string {
	config := q.options.Config()
	names := make([]string, 0, len(ids))
	for _, id := range ids {
		if config != nil && config.Upstreams[id] != nil {
			names = append(names, config.Upstreams[id].Name)
			continue
		}
		// A crashed upstream is no longer registered under its identifier.
		names = append(names, "#"+strconv.FormatUint(uint64(id), 10))
	}
	return names
}

// logText returns the log message for a segment or for a request.
func logText(subject quarantine.Subject, segment, request string) string {
	if subject.Request {
		return request
	}
	return segment
}

// subjectAttribute returns the attribute that names a subject in the log.
func subjectAttribute(subject quarantine.Subject) slog.Attr {
	if subject.Request {
		return slog.String("fingerprint", subject.String())
	}
	return slog.String("segment", subject.String())
}

const (
	// KindSegment and KindRequest are the values of HeldSegment.Kind.
	KindSegment = "segment"
	KindRequest = "request"
)

// HeldSegment is a held prompt segment, or a held request, as operators see it.
type HeldSegment struct {
	// Segment identifies the segment, or is the fingerprint of the request.
	Segment string    `json:"segment"`
	Kind    string    `json:"kind"`
	Since   time.Time `json:"since"`
	// Crashes is the number of crashes that led to the verdict, and LastCrash the time of the
	// last one with it in flight.
	Crashes   int       `json:"crashes"`
	LastCrash time.Time `json:"last_crash"`
	// Upstreams are some of the upstreams that crashed.
	Upstreams []string `json:"upstreams"`
	// Refused counts the requests that this daemon refused because of it.
	Refused uint64 `json:"refused"`
	// Trials counts the requests that were sent to find out whether it is sound again, and
	// NextTrial is when the next one may be sent; zero if there is none.
	Trials    int       `json:"trials"`
	NextTrial time.Time `json:"next_trial"`
}

// Held returns the held segments and requests, the oldest first.
func (q *Quarantine) Held() []HeldSegment {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := []HeldSegment{}
	for _, hold := range q.tracker.Holds() {
		held := HeldSegment{
			Segment: hold.Subject.String(), Kind: KindSegment, Since: hold.Since, Crashes: hold.Crashes, LastCrash: hold.LastCrash,
			Upstreams: q.upstreamNames(hold.Upstreams), Refused: hold.Refused, Trials: hold.Trials,
		}
		if hold.Subject.Request {
			held.Kind = KindRequest
		}
		if hold.MayHaveTrials() {
			held.NextTrial = hold.NextTrial
		}
		list = append(list, held)
	}
	slices.SortFunc(list, func(a, b HeldSegment) int {
		return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Segment, b.Segment))
	})
	return list
}

// Release ends the hold on the segment or the request with an identifier, here and at the other
// daemons. It reports whether there was one.
func (q *Quarantine) Release(id uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	released := q.tracker.Release(now, id)
	q.applyNotices(now)
	return released
}

// Saved returns the holds in force, to be kept outside the processes of the fleet.
func (q *Quarantine) Saved() []quarantine.Saved {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.tracker.Saved()
}

// Restore puts saved holds in force that this daemon does not know.
func (q *Quarantine) Restore(saved []quarantine.Saved) {
	q.merge(func(now time.Time) { q.tracker.Restore(now, saved) })
}

// Stats are the counters of a Quarantine.
type Stats struct {
	// Held is the number of held segments, Suspects that of segments under suspicion.
	// HeldRequests and SuspectRequests are those of requests.
	Held            int `json:"held"`
	Suspects        int `json:"suspects"`
	HeldRequests    int `json:"held_requests"`
	SuspectRequests int `json:"suspect_requests"`
	// Refused counts the requests that were refused, Crashes the crashes of upstreams that this
	// daemon saw, and ChecksDropped those that it had no room to check.
	Refused       uint64 `json:"refused"`
	Crashes       uint64 `json:"crashes"`
	ChecksDropped uint64 `json:"checks_dropped"`
}

// Stats returns the counters.
func (q *Quarantine) Stats() Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	stats := Stats{Refused: q.refused, Crashes: q.crashed, ChecksDropped: q.dropped}
	_, stats.Suspects, stats.SuspectRequests = q.tracker.Counts()
	for _, hold := range q.tracker.Holds() {
		if hold.Subject.Request {
			stats.HeldRequests++
		} else {
			stats.Held++
		}
	}
	return stats
}

var _ serve.Guard = (*Quarantine)(nil)

// refusal returns the refusal of requests because of a hold.
func refusal(hold *quarantine.Hold) *request.Refusal {
	if hold.Subject.Request {
		return &request.Refusal{
			Reason:    request.ReasonRequestHeld,
			Execution: request.NotExecuted,
			Detail:    "the request, with fingerprint " + hold.Subject.String() + ", crashes upstreams; do not repeat it",
		}
	}
	return &request.Refusal{
		Reason:    request.ReasonPromptHeld,
		Execution: request.NotExecuted,
		Detail:    "segment " + hold.Subject.String() + " of the prompt crashes upstreams; do not repeat the request",
	}
}
