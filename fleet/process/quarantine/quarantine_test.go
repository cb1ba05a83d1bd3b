package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// common is in all prompts, callers in all prompts of one caller, and deadly crashes
	// upstreams.
	common  = 1
	callers = 2
	deadly  = 0xdead
	// testPool is the pool of all upstreams.
	testPool = version.PoolID(1)
)

var epoch = time.Unix(1_700_000_000, 0)

// at returns a time of a test in seconds.
func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

// prompt returns a request with the segments of a prompt, with a last one that no other request
// has.
func prompt(ids ...uint64) request.Content {
	own := rand.Uint64() | 1<<63
	content := request.Content{Fingerprint: own}
	for _, id := range append(ids, own) {
		content.Segments = append(content.Segments, request.PromptSegment{ID: id, Tokens: 100})
	}
	return content
}

// crashWith records the crash of an upstream with prompts in flight that were sent 0.2 s before
// and of which no event has arrived.
func crashWith(t *Tracker, seconds float64, upstream version.UpstreamID, prompts ...request.Content) {
	var attempts []Attempt
	for _, content := range prompts {
		attempts = append(attempts, Attempt{Content: content, SentAt: at(seconds - 0.2)})
	}
	t.RecordCrash(at(seconds), upstream, testPool, at(seconds), attempts)
}

// answerOthers records complete answers to other prompts.
func answerOthers(t *Tracker, seconds float64, ids ...uint64) {
	for range controlAnswers {
		t.RecordAnswer(at(seconds), prompt(append([]uint64{common}, ids...)...), at(seconds-0.05))
	}
}

// held returns the segments that are held.
func held(t *Tracker) map[uint64]bool {
	segments := make(map[uint64]bool)
	for _, hold := range t.Holds() {
		segments[hold.Subject.ID] = true
	}
	return segments
}

func wantHeld(t *testing.T, tracker *Tracker, want ...uint64) {
	t.Helper()
	got := held(tracker)
	if len(got) != len(want) {
		t.Fatalf("held segments are %v, want %x", got, want)
	}
	for _, segment := range want {
		if !got[segment] {
			t.Fatalf("held segments are %v, want %x", got, want)
		}
	}
}

// chain records three crashes with a prompt in flight, each sent after the crash before, and
// answers to other prompts between them.
func chain(tracker *Tracker, from float64, ids ...uint64) {
	for n := range crashesToHold {
		crashWith(tracker, from+float64(n), version.UpstreamID(10*from)+version.UpstreamID(n), prompt(ids...))
		answerOthers(tracker, from+float64(n)+0.5)
		tracker.Tick(at(from + float64(n) + 0.6))
	}
	settle(tracker, from+crashesToHold)
}

// settle lets the evidence stand until it is judged.
func settle(tracker *Tracker, seconds float64) {
	tracker.Tick(at(seconds))
	tracker.Tick(at(seconds + settleTime.Seconds()))
}

// Guards against requests with one segment being sent to one upstream after the other: after
// three crashes they are refused, and sound requests that share all other segments are not.
func TestSegmentInAChainOfCrashesIsHeld(t *testing.T) {
	tracker := New(Options{Self: "vm-1"})
	chain(tracker, 1, common, callers, deadly)
	wantHeld(t, tracker, deadly)
	if decision := tracker.Admit(at(5), prompt(common, callers, deadly)); decision.Held == nil || decision.Held.Subject != (Subject{ID: deadly}) {
		t.Errorf("a request with the segment is admitted: %+v", decision)
	}
	if decision := tracker.Admit(at(5), prompt(common, callers)); decision.Held != nil {
		t.Errorf("a sound request is refused: %+v", decision.Held)
	}
}

// Guards against blaming the first segment of a prompt when the deadly one is the first, and
// the other way round: the position of the segment must not matter if other answers clear the
// rest.
func TestPositionOfTheDeadlySegmentDoesNotMatter(t *testing.T) {
	for name, ids := range map[string][]uint64{
		"first":  {deadly, common, callers},
		"middle": {common, deadly, callers},
		"last":   {common, callers, deadly},
	} {
		tracker := New(Options{Self: "vm-1"})
		for n := range crashesToHold {
			crashWith(tracker, float64(n), version.UpstreamID(n), prompt(ids...))
			answerOthers(tracker, float64(n)+0.5, callers)
			tracker.Tick(at(float64(n) + 0.6))
		}
		settle(tracker, 3)
		if got := held(tracker); len(got) != 1 || !got[deadly] {
			t.Errorf("%s: held segments are %v, want the deadly one alone", name, got)
		}
	}
}

// Guards against holding a segment that few others use and that accompanies the deadly one in
// every crash. If it was answered before, the deadly one is the one that was not. If neither
// was, the one that comes later in the prompt is held.
func TestRareCompanionOfTheDeadlySegmentIsNotHeld(t *testing.T) {
	for name, answered := range map[string]bool{"answered before": true, "never answered": false} {
		tracker := New(Options{Self: "vm-1"})
		ids := []uint64{common, callers, deadly}
		if answered {
			tracker.RecordAnswer(at(0.5), prompt(common, callers), at(0.4))
			ids = []uint64{common, deadly, callers}
		}
		chain(tracker, 1, ids...)
		if got := held(tracker); len(got) != 1 || !got[deadly] {
			t.Errorf("%s: held segments are %v, want the deadly one alone", name, got)
		}
	}
}

// Guards against a verdict that is never reached because all segments of the deadly requests
// were answered before, as after an upgrade of the upstreams.
func TestSegmentThatWasAnsweredBeforeIsHeldOnceItCrashesUpstreams(t *testing.T) {
	tracker := New(Options{Self: "vm-1"})
	tracker.RecordAnswer(at(0.5), prompt(common, callers, deadly), at(0.4))
	for n := range answeredCrashesToHold {
		crashWith(tracker, 1+float64(n), version.UpstreamID(n), prompt(common, callers, deadly))
		answerOthers(tracker, 1.5+float64(n), callers)
		tracker.Tick(at(1.6 + float64(n)))
	}
	settle(tracker, 1+answeredCrashesToHold)
	wantHeld(t, tracker, deadly)
}

// Guards against a second deadly segment hiding behind the first: each is held.
func TestTwoDeadlySegmentsAreBothHeld(t *testing.T) {
	tracker := New(Options{Self: "vm-1"})
	for n := range 2 * crashesToHold {
		segment := uint64(deadly + n%2)
		crashWith(tracker, float64(n), version.UpstreamID(n), prompt(common, callers, segment), prompt(common, 77+uint64(n)))
		answerOthers(tracker, float64(n)+0.5, callers)
		tracker.Tick(at(float64(n) + 0.6))
	}
	settle(tracker, 2*crashesToHold)
	settle(tracker, 2*crashesToHold+1)
	wantHeld(t, tracker, deadly, deadly+1)
}

// Guards against blame for one crash: a segment that is first seen there, or is in flight at
// two of them, is not held.
func TestOneOrTwoCrashesHoldNothing(t *testing.T) {
	tracker := New(Options{Self: "vm-1"})
	for n := range crashesToHold - 1 {
		crashWith(tracker, float64(n), version.UpstreamID(n), prompt(common, 33))
		answerOthers(tracker, float64(n)+0.5)
		tracker.Tick(at(float64(n) + 0.6))
	}
	settle(tracker, crashesToHold)
	wantHeld(t, tracker)
}

// Guards against blame for upstreams that end together for another reason, such as the loss of
// a data centre, with many sound requests in flight that share segments.
func TestUpstreamsThatCrashTogetherHoldNothing(t *testing.T) {
	tracker := New(Options{Self: "vm-1"})
	for n := range 20 {
		crashWith(tracker, 1+float64(n)/1000, version.UpstreamID(n), prompt(common, 33), prompt(common, 34))
	}
	tracker.Tick(at(1.1))
	answerOthers(tracker, 1.5)
	tracker.Tick(at(1.6))
	crashWith(tracker, 2, 30, prompt(common, 33))
	settle(tracker, 2.1)
	wantHeld(t, tracker)
}

// Guards against holding the segments that all requests have while every upstream crashes
// again and again: nothing is answered, so no segment stands out.
func TestOutageOfAllUpstreamsHoldsNothing(t *testing.T) {
	tracker := New(Options{Self: "vm-1"})
	for n := range 40 {
		crashWith(tracker, float64(n), version.UpstreamID(n), prompt(common, 33), prompt(common, 34))
		settle(tracker, float64(n)+0.1)
	}
	wantHeld(t, tracker)
}

// Guards against a segment that is cleared by an answer that had begun before the crash, and
// against one that is not cleared by an answer that began later.
func TestAnswerClearsOnlyCrashesBeforeItBegan(t *testing.T) {
	tracker := New(Options{Self: "vm-1"})
	for n := range answeredCrashesToHold {
		seconds := 1 + float64(n)
		crashWith(tracker, seconds, version.UpstreamID(n), prompt(common, deadly))
		// The answer ends after the crash but began before the first one.
		tracker.RecordAnswer(at(seconds+0.3), prompt(common, deadly), at(0.9))
		answerOthers(tracker, seconds+0.5)
		tracker.Tick(at(seconds + 0.6))
	}
	settle(tracker, 1+answeredCrashesToHold)
	wantHeld(t, tracker, deadly)

	tracker = New(Options{Self: "vm-1"})
	for n := range 2 * crashesToHold {
		seconds := 1 + float64(n)
		crashWith(tracker, seconds, version.UpstreamID(n), prompt(common, 33))
		tracker.RecordAnswer(at(seconds+0.3), prompt(common, 33), at(seconds+0.1))
		answerOthers(tracker, seconds+0.5)
		tracker.Tick(at(seconds + 0.6))
	}
	settle(tracker, 1+2*crashesToHold)
	wantHeld(t, tracker)
}

// Guards against missing a segment that crashes upstreams only after some events, while an
// answer that had begun is less suspect than one that had not.
func TestAnswersThatHadBegunAreLessSuspect(t *testing.T) {
	tracker := New(Options{Self: "vm-1"})
	for n := range begunCrashesToHold {
		seconds := 1 + float64(n)
		begun := Attempt{Content: prompt(common, deadly), SentAt: at(seconds - 0.9), BegunAt: at(seconds - 0.6)}
		tracker.RecordCrash(at(seconds), version.UpstreamID(n), testPool, at(seconds), []Attempt{begun})
		answerOthers(tracker, seconds+0.05)
		settle(tracker, seconds+0.06)
		if isHeld := held(tracker)[deadly]; isHeld != (n+1 == begunCrashesToHold) {
			t.Fatalf("after %d crashes: held is %t", n+1, isHeld)
		}
	}
}

// Guards against sending a request that was in flight at a crash to upstream after upstream
// before the verdict, and against refusing the repeats of sound ones.
func TestRequestThatMetTwoCrashesIsNotRepeated(t *testing.T) {
	tracker := New(Options{Self: "vm-1"})
	segments := prompt(common, deadly)
	if !tracker.MayRepeat(segments, at(0.9)) {
		t.Error("a request is not repeated after the first crash")
	}
	crashWith(tracker, 1, 1, segments)
	answerOthers(tracker, 1.5)
	if tracker.MayRepeat(segments, at(1.1)) {
		t.Error("a request that met a second crash is repeated")
	}
	if !tracker.MayRepeat(prompt(common, 33), at(1.6)) {
		t.Error("a sound request is not repeated")
	}
}

// fleet is a set of trackers that exchange their messages.
type fleet struct {
	trackers []*Tracker
	names    []version.VMID
	// links holds which pairs exchange messages.
	linked func(a, b int) bool
}

func newFleet(size int, linked func(a, b int) bool) *fleet {
	f := &fleet{linked: linked}
	for i := range size {
		f.names = append(f.names, version.VMID(fmt.Sprintf("vm-%d", i)))
	}
	for i := range size {
		tracker := New(Options{Self: f.names[i]})
		tracker.SetMembers(f.names)
		f.trackers = append(f.trackers, tracker)
	}
	return f
}

// exchange delivers all messages of one round, a part of them twice and in any order, and
// returns how many there were.
func (f *fleet) exchange(random *rand.Rand, seconds float64) int {
	type delivery struct {
		to       int
		messages Messages
	}
	var deliveries []delivery
	for i, tracker := range f.trackers {
		messages := tracker.Tick(at(seconds))
		if len(messages.List()) == 0 {
			continue
		}
		for j := range f.trackers {
			if i != j && f.linked(i, j) {
				deliveries = append(deliveries, delivery{j, messages})
				if random.IntN(3) == 0 {
					deliveries = append(deliveries, delivery{j, messages})
				}
			}
		}
	}
	random.Shuffle(len(deliveries), func(a, b int) { deliveries[a], deliveries[b] = deliveries[b], deliveries[a] })
	for _, d := range deliveries {
		merge(f.trackers[d.to], at(seconds+0.02), d.messages)
	}
	return len(deliveries)
}

// tellAll tells all VMs what one of them knows.
func (f *fleet) tellAll(from int, seconds float64) {
	for i, tracker := range f.trackers {
		if i != from {
			merge(tracker, at(seconds), f.trackers[from].All(at(seconds)))
		}
	}
}

// Guards against five crashes that are seen by five VMs, one each: no VM alone has enough
// evidence. All of them must hold the segment, in a mesh and where leaves know only their
// hub, and then fall silent.
func TestCrashesSeenByDifferentVMsAreJoined(t *testing.T) {
	for name, linked := range map[string]func(a, b int) bool{
		"mesh": func(int, int) bool { return true },
		"hubs": func(a, b int) bool { return a < 2 || b < 2 },
		"row":  func(a, b int) bool { return a-b == 1 || b-a == 1 },
	} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			f := newFleet(5, linked)
			seconds := 1.0
			for n := range 5 {
				crashWith(f.trackers[n], seconds, version.UpstreamID(n), prompt(common, callers, deadly))
				for range 8 {
					seconds += 0.1
					for _, tracker := range f.trackers {
						answerOthers(tracker, seconds)
					}
					f.exchange(random, seconds)
				}
			}
			for i, tracker := range f.trackers {
				if got := held(tracker); len(got) != 1 || !got[deadly] {
					t.Errorf("vm-%d holds %v, want the deadly segment", i, got)
				}
			}
			for range 5 {
				seconds += 0.1
				f.exchange(random, seconds)
			}
			if sent := f.exchange(random, seconds+0.1); sent > 0 {
				t.Errorf("%d messages are still sent when all VMs know the same", sent)
			}
		})
	}
}

// Guards against a VM that is new to the fleet, or was restarted or cut off, sending requests
// with a held segment: it learns of all holds and releases when it is linked.
func TestVMLinkedLaterLearnsHoldsAndReleases(t *testing.T) {
	tracker, late := New(Options{Self: "vm-1"}), New(Options{Self: "vm-2"})
	chain(tracker, 1, common, deadly)
	chain(tracker, 5, common, deadly+1)
	if !tracker.Release(at(9), deadly+1) {
		t.Fatal("the second segment is not held")
	}
	late.addHold(at(9), &Hold{Subject: Subject{ID: deadly + 1}, Round: 1, Since: at(8), LastCrash: at(8)})
	merge(late, at(9.1), tracker.All(at(9)))
	wantHeld(t, late, deadly)
}

// Guards against a release that a VM undoes which learns of it late.
func TestReleaseIsNotUndoneByLateMessages(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	cut := true
	f := newFleet(3, func(a, b int) bool { return !cut || a != 2 && b != 2 })
	chain(f.trackers[0], 1, common, deadly)
	cut = false
	f.tellAll(0, 4)
	cut = true
	f.trackers[1].Release(at(6), deadly)
	for range 4 {
		f.exchange(random, 6)
	}
	cut = false
	merge(f.trackers[1], at(7), f.trackers[2].All(at(7)))
	for range 4 {
		f.exchange(random, 7)
	}
	for _, tracker := range f.trackers {
		wantHeld(t, tracker)
	}
	chain(f.trackers[0], 10, common, deadly)
	f.tellAll(0, 14)
	for _, tracker := range f.trackers {
		wantHeld(t, tracker, deadly)
	}
}

// Guards against a verdict that never ends, and against each VM trying the segment again: one
// VM of the fleet sends one request with it from time to time, less and less often while it
// crashes, and the hold ends everywhere once one is answered.
func TestOneVMTriesAHeldSegmentUntilItIsAnswered(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	f := newFleet(4, func(int, int) bool { return true })
	chain(f.trackers[0], 1, common, deadly)
	f.tellAll(0, 4)
	trials := 0
	seconds := 4.0
	for ; seconds < 1000; seconds += 0.5 {
		f.exchange(random, seconds)
		for _, tracker := range f.trackers {
			decision := tracker.Admit(at(seconds), prompt(common, deadly))
			if decision.Trial {
				trials++
				crashWith(tracker, seconds+0.1, version.UpstreamID(100+trials), prompt(common, deadly))
			} else if decision.Held == nil {
				t.Fatalf("a request with the held segment is admitted after %.1f s", seconds)
			}
		}
	}
	if trials < 3 || trials > 5 {
		t.Errorf("%d trials in 1000 s, want 3 to 5", trials)
	}
	for ; trials < 100; seconds += 0.5 {
		f.exchange(random, seconds)
		for _, tracker := range f.trackers {
			if decision := tracker.Admit(at(seconds), prompt(common, deadly)); decision.Trial {
				tracker.RecordAnswer(at(seconds+0.2), prompt(common, deadly), at(seconds+0.1))
				trials = 100
			}
		}
	}
	for range 3 {
		f.exchange(random, seconds)
	}
	for _, tracker := range f.trackers {
		wantHeld(t, tracker)
	}
}

// Guards against a trial that reached no upstream counting as one that failed.
func TestTrialThatWasNotSentIsRepeatedSoon(t *testing.T) {
	tracker := New(Options{Self: "vm-1"})
	chain(tracker, 1, common, deadly)
	if !tracker.Admit(at(20), prompt(common, deadly)).Trial {
		t.Fatal("no trial after 17 s")
	}
	tracker.EndTrial(at(20.1), Subject{ID: deadly})
	if !tracker.Admit(at(22), prompt(common, deadly)).Trial {
		t.Error("no trial 2 s after one that was not sent")
	}
}

// Guards against state that grows with what callers send or with the crashes.
func TestStateIsBounded(t *testing.T) {
	tracker := New(Options{Self: "vm-1"})
	for n := range 1500 {
		seconds := float64(n) / 10
		var prompts []request.Content
		for range 20 {
			prompts = append(prompts, prompt(rand.Uint64(), rand.Uint64(), uint64(n%500)))
		}
		crashWith(tracker, seconds, version.UpstreamID(n), prompts...)
		answerOthers(tracker, seconds+0.05, rand.Uint64())
		tracker.Tick(at(seconds + 0.06))
	}
	crashes, segments, requests := tracker.Counts()
	if crashes > maxCrashes || segments > maxCrashes*maxSuspects || requests > maxCrashes*maxSuspects || len(tracker.Holds()) > maxHolds || len(tracker.releases) > maxReleases+1 {
		t.Errorf("%d crashes, %d segments, %d requests, %d holds and %d releases are kept", crashes, segments, requests, len(tracker.Holds()), len(tracker.releases))
	}
	for _, answers := range []*answerTimes{tracker.answeredSegments, tracker.answeredRequests} {
		if kept := len(answers.newer) + len(answers.older); kept > maxAnswerTimes {
			t.Errorf("the answers to %d subjects are kept, want at most %d", kept, maxAnswerTimes)
		}
	}
}
