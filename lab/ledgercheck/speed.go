package ledgercheck

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

// Load is a steady stream of claims, each with a new key.
type Load struct {
	// PerSecond is the rate of claims of the whole fleet.
	PerSecond float64
	// Length is the virtual time of the stream.
	Length time.Duration
	// KeyAge spreads the times in the keys: a key is up to this old when it is
	// used, as callers' clocks differ.
	KeyAge time.Duration
	// KillEvery is how often a daemon is killed; 0 is never.
	KillEvery time.Duration
}

// killedFor is how long a killed daemon stays away.
const killedFor = 5 * time.Second

// Speed is what a stream of claims cost.
type Speed struct {
	Claims int
	// Refused are claims without a permit, and Lost those whose daemon was
	// killed or was down.
	Refused int
	Lost    int
	P50     time.Duration
	P99     time.Duration
	Max     time.Duration
	// Usage is the store's, and Messages and Bytes the daemons' among each
	// other.
	Usage    Usage
	Messages int
	Bytes    int
	Objects  int
}

// maxMicroseconds bounds the recorded waits.
const maxMicroseconds = 60_000_000

// Measure runs a stream of claims through a fleet without faults.
func Measure(options Options, load Load) (Speed, error) {
	s := New(options)
	waits := hdrhistogram.New(1, maxMicroseconds, 3)
	speed := Speed{}
	var failure error
	record := func(c *call) {
		speed.Claims++
		switch {
		case !c.permitted.IsZero():
		case c.got.Kind == AnswerNone:
			speed.Lost++
			return
		default:
			speed.Refused++
			return
		}
		if err := waits.RecordValue(c.permitted.Sub(c.began).Microseconds()); err != nil {
			failure = errors.Wrap(err, "record a wait")
		}
	}
	s.stream(load, record)
	if load.KillEvery > 0 {
		s.killEvery(load)
	}
	s.Run(load.Length + settleLength)
	if violations := s.Finish(); len(violations) > 0 {
		return Speed{}, errors.Newf("%d violations, first %s", len(violations), violations[0])
	}
	speed.P50 = time.Duration(waits.ValueAtQuantile(50)) * time.Microsecond
	speed.P99 = time.Duration(waits.ValueAtQuantile(99)) * time.Microsecond
	speed.Max = time.Duration(waits.Max()) * time.Microsecond
	speed.Usage = s.Usage()
	speed.Messages, speed.Bytes = s.messages, s.bytes
	speed.Objects = len(s.store.objects)
	return speed, failure
}

// stream makes the calls at exponentially distributed distances.
func (s *Sim) stream(load Load, record func(*call)) {
	end := s.agenda.now.Add(load.Length)
	var next func()
	next = func() {
		if s.agenda.now.After(end) {
			return
		}
		s.call(s.random.IntN(len(s.daemons)), s.newKeyAged(load.KeyAge), 0, record)
		gap := time.Duration(s.random.ExpFloat64() / load.PerSecond * float64(time.Second))
		s.agenda.after(gap, next)
	}
	next()
}

// killEvery kills the daemons in turn.
func (s *Sim) killEvery(load Load) {
	for i := 1; time.Duration(i)*load.KillEvery < load.Length; i++ {
		s.agenda.after(time.Duration(i)*load.KillEvery, func() { s.Kill(i%len(s.daemons), killedFor) })
	}
}
