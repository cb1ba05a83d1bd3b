// Package quarantine finds what crashes the upstreams that answer it (queries of death), a
// prompt segment or a single request that comes again, and decides which requests must not be
// sent because of it.
//
// When an upstream crashes, each VM reports the subjects of its requests that were in flight
// there: the segments of their prompts, and the requests themselves. A subject is cleared by
// any complete answer that began later. A subject that was in flight in several crashes, each
// time in an attempt that was sent after the crash before, and that no complete answer
// cleared meanwhile, is held: requests with it are refused, but for a trial now and then.
// Sound requests of the same callers differ from the crashing ones in that subject alone, so
// their answers clear everything else.
//
// All VMs exchange what they know and reach the same verdict. Merging is idempotent and
// does not depend on the order of messages. A Tracker does no I/O and reads no clock.
package quarantine

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// crashesToHold is the length of a chain of crashes after which a subject is held that is in
	// no known complete answer, and answeredCrashesToHold that of one that was answered before.
	crashesToHold         = 3
	answeredCrashesToHold = 5
	// begunCrashesToHold is that length if the answers of some of the requests had begun. An
	// answer that has begun is less suspect, but a long one meets more crashes by chance.
	begunCrashesToHold = 5
	// settleTime is how long the evidence must suffice until the subject is held.
	settleTime = 500 * time.Millisecond
	// othersPerCrash is how many crashes in which a segment is no suspect, during its chain,
	// make the chain that is needed longer by one. Rare sound segments, and sound
	// requests that come again often, meet a few of many crashes.
	othersPerCrash = 3
	// controlAnswers is how many complete answers to other prompts there must have been
	// during the chain of a segment. Without them every upstream is down, and no segment stands
	// out.
	controlAnswers = 3
	// beginGrace is how long after its first event an answer still counts as not begun.
	beginGrace = 250 * time.Millisecond
	// maxSegments limits the segments of one prompt that are considered.
	maxSegments = 64
)

// Options configure a Tracker.
type Options struct {
	Self version.VMID
}

// Tracker holds what one VM knows of crashes and their suspects. It is not safe for concurrent
// use.
type Tracker struct {
	self    version.VMID
	members []version.VMID
	crashes []*crash
	// suspects counts the crashes in which a subject is a suspect.
	suspects map[Subject]int
	// answeredSegments and answeredRequests hold when the answer that last cleared a subject began.
	// They are separate, because there are far more requests than segments.
	answeredSegments, answeredRequests *answerTimes
	// begun holds when the answer to a subject last began that broke off later.
	begun *answerTimes
	// answers counts the complete answers to prompts with shared segments.
	answers  uint64
	holds    map[Subject]*Hold
	releases map[Subject]release
	// undecided is set if there is evidence that was not judged yet.
	undecided bool
	// pending holds since when the evidence against a subject suffices that is not held yet.
	pending map[Subject]time.Time
	// answersTold are the suspects of whose earlier answers the other VMs were told.
	answersTold map[Subject]struct{}
	changes     changes
	notices     []Notice
	// newCrashes are the upstreams of recent crashes that this VM has just learned of.
	newCrashes []version.UpstreamID
}

// New returns a Tracker without evidence.
func New(options Options) *Tracker {
	return &Tracker{
		self:     options.Self,
		suspects: make(map[Subject]int),

		answeredSegments: newAnswerTimes(maxAnswerTimes),
		answeredRequests: newAnswerTimes(maxAnswerTimes),

		begun:    newAnswerTimes(maxAnswerTimes / 4),
		holds:    make(map[Subject]*Hold),
		releases: make(map[Subject]release),

		answersTold: make(map[Subject]struct{}),
		changes:     newChanges(),
	}
}

// SetMembers sets the VMs among which the trials of held subjects are divided.
func (t *Tracker) SetMembers(members []version.VMID) { t.members = members }

// Notice reports that a subject is held from now on, or no longer held, for the log.
type Notice struct {
	Hold Hold
	// Cause is why the hold ended; CauseNone if it began.
	Cause ReleaseCause
}

// Notices returns the notices since the last call.
func (t *Tracker) Notices() []Notice {
	notices := t.notices
	t.notices = nil
	return notices
}

// NewCrashes returns the upstreams of recent crashes that this VM has learned of since the last
// call.
func (t *Tracker) NewCrashes() []version.UpstreamID {
	crashes := t.newCrashes
	t.newCrashes = nil
	return crashes
}

// answered returns the answers that last cleared subjects of the same kind.
func (t *Tracker) answered(subject Subject) *answerTimes {
	if subject.Request {
		return t.answeredRequests
	}
	return t.answeredSegments
}
