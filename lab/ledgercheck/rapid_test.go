package ledgercheck

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/trefoilwell/trefoilwell/fleet/request/claim"
)

// drawStore draws what goes wrong at the store.
func drawStore(t *rapid.T) StoreFaults {
	return StoreFaults{
		Down:        rapid.Bool().Draw(t, "down"),
		LoseAnswers: rapid.Bool().Draw(t, "lose answers"),
		LateWrites:  rapid.Bool().Draw(t, "late writes"),
		Limited:     rapid.Bool().Draw(t, "limited"),
	}
}

// drawLength draws a time up to a bound.
func drawLength(t *rapid.T, bound time.Duration, name string) time.Duration {
	return time.Duration(rapid.Int64Range(1, int64(bound)).Draw(t, name))
}

// checkAnyOrder lets rapid choose each call and each fault, so that a failure
// shrinks to the shortest story, and returns what was violated.
func checkAnyOrder(t *rapid.T, broken Break) []string {
	const longest, steps = 8 * time.Second, 30
	vms := rapid.IntRange(2, 5).Draw(t, "vms")
	s := New(Options{
		Seed:        rapid.Uint64().Draw(t, "seed"),
		DataCentres: rapid.IntRange(1, 2).Draw(t, "data centres"),
		VMs:         vms,
		StoreTime:   5 * time.Millisecond,
		Duplicate:   rapid.Float64Range(0, 0.5).Draw(t, "duplicate"),
		Lose:        rapid.Float64Range(0, 0.3).Draw(t, "lose"),
		Late:        rapid.Float64Range(0, 0.5).Draw(t, "late"),
		LateBy:      drawLength(t, 3*time.Second, "late by"),
		ServiceTime: drawLength(t, 3*time.Second, "service time"),
		Withhold:    rapid.Float64Range(0, 0.3).Draw(t, "withhold"),
		BodyBytes:   100,
		Break:       broken,
	})
	keys := []claim.Key{s.NewKey()}
	for i := range rapid.IntRange(1, steps).Draw(t, "steps") {
		vm := rapid.IntRange(0, vms-1).Draw(t, fmt.Sprintf("vm %d", i))
		switch rapid.IntRange(0, 7).Draw(t, fmt.Sprintf("step %d", i)) {
		case 0:
			s.Kill(vm, drawLength(t, longest, "killed for"))
		case 1:
			s.Pause(vm, drawLength(t, longest, "paused for"))
		case 2:
			s.SetStoreFaults(drawStore(t))
		case 3:
			s.Isolate(vm%len(s.centres), rapid.Bool().Draw(t, "isolated"))
		case 4:
			keys = append(keys, s.NewKey())
		default:
			key := rapid.SampledFrom(keys).Draw(t, "key")
			s.Call(vm, key, byte(rapid.IntRange(0, 1).Draw(t, "content")), func(Answer) {})
		}
		s.Run(drawLength(t, 2*time.Second, "then"))
	}
	s.heal()
	s.Run(settleLength)
	return s.Finish()
}

func TestNoOrderOfCallsAndFaultsRunsAKeyTwice(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		if violations := checkAnyOrder(t, Break{}); len(violations) > 0 {
			t.Fatalf("%v", violations)
		}
	})
}

// TestTheOrdersDrawnFindABreak shows that the property can fail.
func TestTheOrdersDrawnFindABreak(t *testing.T) {
	t.Parallel()
	const examples = 100
	example := rapid.Custom(func(t *rapid.T) []string { return checkAnyOrder(t, Break{Unconditional: true, SendFirst: true}) })
	for seed := range examples {
		if len(example.Example(seed)) > 0 {
			return
		}
	}
	t.Errorf("a protocol without its rules passed %d examples", examples)
}
