package quarantine

import "testing"

// Guards against taking the crashes of an upstream that is back at once, under the identifier that
// it had, for one crash, and against counting one crash twice: only a connection that was opened
// after the crash was known shows that the upstream had returned.
func TestUpstreamThatIsBackAtOnceCrashesAgain(t *testing.T) {
	for _, connected := range []bool{true, false} {
		tracker := New(Options{Self: "vm-1"})
		for n := range crashesToHold {
			seconds := 1 + 0.4*float64(n)
			attempt := Attempt{Content: prompt(common, deadly), SentAt: at(seconds - 0.1)}
			if connected {
				attempt.ConnectedAt = at(seconds - 0.1)
			}
			tracker.RecordCrash(at(seconds+0.01), 1, testPool, at(seconds), []Attempt{attempt})
			answerOthers(tracker, seconds+0.2)
			tracker.Tick(at(seconds + 0.25))
		}
		settle(tracker, 3)
		if connected {
			wantHeld(t, tracker, deadly)
		} else {
			wantHeld(t, tracker)
		}
		if crashes := tracker.All(at(3)).Prompts; crashes == nil || len(crashes.Crashes) != 1 {
			t.Errorf("connected %t: other VMs are told %+v, want one crash", connected, crashes)
		}
	}
}
