package ledgercheck

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/trefoilwell/trefoilwell/fleet/request/claim"
)

// drawStoreFaults draws a set of store faults.
func drawStoreFaults(t *rapid.T) StoreFaults {
	return StoreFaults{
		Down:        rapid.Bool().Draw(t, "down"),
		LoseAnswers: rapid.Bool().Draw(t, "lose answers"),
		LateWrites:  rapid.Bool().Draw(t, "late writes"),
		Limited:     rapid.Bool().Draw(t, "limited"),
	}
}

// drawDuration draws a duration of up to bound.
func drawDuration(t *rapid.T, bound time.Duration, name string) time.Duration {
	return time.Duration(rapid.Int64Range(1, int64(bound)).Draw(t, name))
}

// runDrawnSchedule lets rapid draw each call and each fault, so that it can shrink
// a failure to the shortest sequence, and returns the violations.
func runDrawnSchedule(t *rapid.T, defects ProtocolDefects) []string {
	const maxFaultLength, maxSteps = 8 * time.Second, 30
	vms := rapid.IntRange(2, 5).Draw(t, "vms")
	s := New(Options{
		Seed:              rapid.Uint64().Draw(t, "seed"),
		DataCentres:       rapid.IntRange(1, 2).Draw(t, "data centres"),
		VMs:               vms,
		StoreTime:         5 * time.Millisecond,
		DuplicateFraction: rapid.Float64Range(0, 0.5).Draw(t, "duplicate"),
		LossFraction:      rapid.Float64Range(0, 0.3).Draw(t, "lose"),
		DelayFraction:     rapid.Float64Range(0, 0.5).Draw(t, "late"),
		MaxExtraDelay:     drawDuration(t, 3*time.Second, "late by"),
		ServiceTime:       drawDuration(t, 3*time.Second, "service time"),
		WithholdFraction:  rapid.Float64Range(0, 0.3).Draw(t, "withhold"),
		BodyBytes:         100,
		Defects:           defects,
	})
	keys := []claim.Key{s.NewKey()}
	for i := range rapid.IntRange(1, maxSteps).Draw(t, "steps") {
		vm := rapid.IntRange(0, vms-1).Draw(t, fmt.Sprintf("vm %d", i))
		switch rapid.IntRange(0, 7).Draw(t, fmt.Sprintf("step %d", i)) {
		case 0:
			s.Kill(vm, drawDuration(t, maxFaultLength, "killed for"))
		case 1:
			s.Pause(vm, drawDuration(t, maxFaultLength, "paused for"))
		case 2:
			s.SetStoreFaults(drawStoreFaults(t))
		case 3:
			s.Isolate(vm%len(s.dataCentres), rapid.Bool().Draw(t, "isolated"))
		case 4:
			keys = append(keys, s.NewKey())
		default:
			key := rapid.SampledFrom(keys).Draw(t, "key")
			s.Call(vm, key, byte(rapid.IntRange(0, 1).Draw(t, "content")), func(Answer) {})
		}
		s.Run(drawDuration(t, 2*time.Second, "then"))
	}
	s.endFaults()
	s.Run(settleTime)
	return s.Finish()
}

// No order of calls and faults may execute a key twice, or refuse a call as not
// executed that was executed.
func TestNoSequenceOfCallsAndFaultsExecutesAKeyTwice(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		if violations := runDrawnSchedule(t, ProtocolDefects{}); len(violations) > 0 {
			t.Fatalf("%v", violations)
		}
	})
}

// The drawn sequences must find a violation in a protocol without its rules;
// otherwise the test above proves nothing.
func TestDrawnSequencesDetectADefectiveProtocol(t *testing.T) {
	t.Parallel()
	const examples = 100
	example := rapid.Custom(func(t *rapid.T) []string {
		return runDrawnSchedule(t, ProtocolDefects{UnconditionalWrites: true, SendBeforeVerdict: true})
	})
	for seed := range examples {
		if len(example.Example(seed)) > 0 {
			return
		}
	}
	t.Errorf("no violation found in %d examples of a protocol without its rules", examples)
}
