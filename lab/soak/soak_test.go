package soak

import (
	"log/slog"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// regressions are the seeds that have failed, with what failed.
var regressions = map[uint64]string{
	400: "a process that was cut off from the store did not learn that an upstream had come back cold",
	500: "the soak itself registered a restarted upstream with an unchanged entry, which the store does not tell",
}

func binary(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "trefoilwell")
	build := exec.Command("go", "build", "-o", path, "github.com/trefoilwell/trefoilwell/daemon/cmd/trefoilwell")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build the daemon: %v\n%s", err, out)
	}
	return path
}

// The bounds in time are checked by hand with cmd/soak, since a busy machine breaks
// them by itself.
func TestPromisesHoldUnderDisturbances(t *testing.T) {
	path := binary(t)
	seeds := []uint64{7}
	for seed := range regressions {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		report, err := Run(t.Context(), Options{
			Seed: seed, Length: 14 * time.Second, Binary: path, Dir: t.TempDir(), Log: slog.New(slog.DiscardHandler),
		})
		if err != nil {
			t.Fatal(err)
		}
		if report.Served == 0 || report.Disturbances == 0 {
			t.Errorf("seed %d: %+v: nothing was tried", seed, report)
		}
		for _, violation := range report.Violations {
			t.Errorf("seed %d: %v", seed, violation)
		}
	}
}

// evidenceOf is what was seen of one call and its runs.
func evidenceOf(c call, runs int) evidence {
	e := evidence{
		calls:   []call{c},
		runs:    make([][]run, 1),
		revoked: func(version int) time.Time { return time.Time{} },
		brought: func(version int) time.Time { return time.Time{} },
	}
	for range runs {
		e.runs[0] = append(e.runs[0], run{id: c.id, at: c.sent})
	}
	e.arrivals = e.runs
	return e
}

func TestEachBrokenPromiseIsFound(t *testing.T) {
	at := time.Unix(1000, 0)
	whole := call{id: "a", kind: "unsafe", key: 1, sent: at, done: at.Add(time.Second), status: 200, seal: "seal-a", body: "answer to a", whole: true}
	changed := func(change func(*call)) call {
		c := whole
		change(&c)
		return c
	}
	refusedLater := changed(func(c *call) {
		c.id, c.status, c.sent, c.done = "b", 401, at.Add(2*time.Second), at.Add(3*time.Second)
	})
	for name, c := range map[string]struct {
		evidence evidence
		want     string
	}{
		"kept":            {evidenceOf(whole, 1), ""},
		"ran twice":       {evidenceOf(whole, 2), "at most once"},
		"false refusal":   {evidenceOf(changed(func(c *call) { c.status = 503 }), 1), "true refusals"},
		"another answer":  {evidenceOf(changed(func(c *call) { c.body = "answer to b" }), 1), "own whole answer"},
		"another seal":    {evidenceOf(changed(func(c *call) { c.seal = "seal-b" }), 1), "own whole answer"},
		"cut and wrong":   {evidenceOf(changed(func(c *call) { c.body, c.whole = "answer to b", false }), 1), "own answer"},
		"cut":             {evidenceOf(changed(func(c *call) { c.body, c.whole = "answer", false }), 1), ""},
		"a key taken off": {revoked(evidenceOf(whole, 1), at.Add(-revokeBound-time.Second)), "revoked keys"},
		"a key just off":  {revoked(evidenceOf(whole, 1), at.Add(-revokeBound/2)), ""},
		"a step back":     {with(evidenceOf(whole, 1), refusedLater), "no step back"},
		"a cold upstream": {cold(evidenceOf(whole, 12), at), "cold upstreams"},
		"a drained one":   {drained(evidenceOf(whole, 1), at), "draining"},
		"leaving":         {leaving(evidenceOf(whole, 1), at, drainBound+time.Second), "leaving"},
		"just leaving":    {leaving(evidenceOf(whole, 1), at, drainBound/2), ""},
		"a pause":         {paused(evidenceOf(whole, 1), at), "pauses"},
		"no service":      {calm(evidenceOf(whole, 1), at), "recovery"},
		"too many again":  {evidenceOf(changed(func(c *call) { c.kind = "safe" }), retrySlack+3), "retry budget"},
	} {
		t.Run(name, func(t *testing.T) {
			found := c.evidence.check(true)
			switch {
			case c.want == "" && len(found) > 0:
				t.Errorf("found %v", found)
			case c.want != "" && (len(found) == 0 || found[0].Promise != c.want):
				t.Errorf("found %v, want %q", found, c.want)
			}
		})
	}
}

func revoked(e evidence, at time.Time) evidence {
	e.revoked = func(int) time.Time { return at }
	return e
}

func with(e evidence, c call) evidence {
	e.calls = append(e.calls, c)
	return e
}

func cold(e evidence, at time.Time) evidence {
	e.calls[0].kind = "safe"
	e.cold = map[int][]span{0: {{at.Add(-time.Second), at.Add(time.Second)}}}
	return e
}

func drained(e evidence, at time.Time) evidence {
	e.drained = map[int][]span{0: {{at.Add(-time.Second), at.Add(time.Second)}}}
	return e
}

// leaving lets another request of the VM reach an upstream after one whose answer said
// that the upstream leaves.
func leaving(e evidence, at time.Time, after time.Duration) evidence {
	e.calls[0].leaving = true
	later := e.calls[0]
	later.id, later.sent, later.done, later.seal, later.body = "b", e.calls[0].done.Add(after), e.calls[0].done.Add(after+time.Second), "seal-b", "answer to b"
	e.calls = append(e.calls, later)
	e.runs[0] = append(e.runs[0], run{id: "b", at: later.sent})
	e.arrivals = e.runs
	e.leaving = map[int][]span{0: {{at.Add(-time.Second), at.Add(time.Minute)}}}
	return e
}

// paused lets three requests come in a pause.
func paused(e evidence, at time.Time) evidence {
	e.calm = []span{{at.Add(-time.Second), at.Add(time.Second)}}
	e.arrivals = [][]run{{{id: "a", at: at, pause: 3 * time.Second}}}
	for range pauseExcess + 1 {
		e.arrivals[0] = append(e.arrivals[0], run{id: "a", at: at.Add(time.Second)})
	}
	return e
}

func calm(e evidence, at time.Time) evidence {
	e.calm = []span{{at, at.Add(time.Minute)}}
	for i := range leastCalls {
		e.calls = append(e.calls, call{id: string(rune('b' + i)), kind: "safe", key: 1, sent: at.Add(time.Second), status: 500})
	}
	return e
}
