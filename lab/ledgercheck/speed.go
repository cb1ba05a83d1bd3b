package ledgercheck

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

// Load is a steady stream of claims, each with a new key.
type Load struct {
	// PerSecond is the mean rate of claims of the whole fleet.
	PerSecond float64
	// Length is the virtual duration of the stream.
	Length time.Duration
	// KeyAge is the greatest age of a key when it is used. The ages are spread
	// evenly, because callers' clocks differ.
	KeyAge time.Duration
	// KillInterval is the interval at which a daemon is killed; 0 kills none.
	KillInterval time.Duration
}

// killDowntime is the time until a killed daemon is restarted.
const killDowntime = 5 * time.Second

// Cost is the measured cost of a stream of claims.
type Cost struct {
	Claims int
	// Refused counts the claims that got no permit, Lost those whose daemon was
	// down or was killed meanwhile.
	Refused int
	Lost    int
	// P50, P99 and Max are the times from a call to its permit.
	P50 time.Duration
	P99 time.Duration
	Max time.Duration
	// Usage is the use of the store. PeerMessages and PeerBytes are the traffic
	// between daemons, counted if Options.CountBytes is set.
	Usage        Usage
	PeerMessages int
	PeerBytes    int
	// StoreObjects is the number of objects in the store at the end.
	StoreObjects int
}

// maxWaitMicroseconds is the longest wait for a permit that can be recorded.
const maxWaitMicroseconds = 60_000_000

// Measure runs a stream of claims through a fleet without faults except the kills
// of load. It returns an error if a guarantee of the ledger was violated.
func Measure(options Options, load Load) (Cost, error) {
	s := New(options)
	waits := hdrhistogram.New(1, maxWaitMicroseconds, 3)
	cost := Cost{}
	var recordErr error
	record := func(c *call) {
		cost.Claims++
		switch {
		case !c.permittedAt.IsZero():
		case c.result.Kind == AnswerNone:
			cost.Lost++
			return
		default:
			cost.Refused++
			return
		}
		if err := waits.RecordValue(c.permittedAt.Sub(c.startedAt).Microseconds()); err != nil {
			recordErr = errors.Wrap(err, "record a wait")
		}
	}
	s.stream(load, record)
	if load.KillInterval > 0 {
		s.scheduleKills(load)
	}
	s.Run(load.Length + settleTime)
	if violations := s.Finish(); len(violations) > 0 {
		return Cost{}, errors.Newf("%d violations, first: %s", len(violations), violations[0])
	}
	cost.P50 = time.Duration(waits.ValueAtQuantile(50)) * time.Microsecond
	cost.P99 = time.Duration(waits.ValueAtQuantile(99)) * time.Microsecond
	cost.Max = time.Duration(waits.Max()) * time.Microsecond
	cost.Usage = s.Usage()
	cost.PeerMessages, cost.PeerBytes = s.messages, s.messageBytes
	cost.StoreObjects = len(s.store.objects)
	return cost, recordErr
}

// stream makes calls of a load through random daemons at exponentially distributed
// intervals. record is called at the end of each.
func (s *Sim) stream(load Load, record func(*call)) {
	end := s.queue.now.Add(load.Length)
	var next func()
	next = func() {
		if s.queue.now.After(end) {
			return
		}
		s.call(s.random.IntN(len(s.daemons)), s.newKeyOfAge(load.KeyAge), 0, record)
		gap := time.Duration(s.random.ExpFloat64() / load.PerSecond * float64(time.Second))
		s.queue.after(gap, next)
	}
	next()
}

// scheduleKills schedules the kills of a load, of the daemons in turn.
func (s *Sim) scheduleKills(load Load) {
	for i := 1; time.Duration(i)*load.KillInterval < load.Length; i++ {
		s.queue.after(time.Duration(i)*load.KillInterval, func() { s.Kill(i%len(s.daemons), killDowntime) })
	}
}
