package edge

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/process/operator"
	"github.com/trefoilwell/trefoilwell/lab/generalupstream"
	"github.com/trefoilwell/trefoilwell/lab/metastore"
	"github.com/trefoilwell/trefoilwell/lab/proxy"
	"github.com/trefoilwell/trefoilwell/platform"
	"github.com/trefoilwell/trefoilwell/platform/platformtest"
)

// replace makes the upstream one of another software version, under its name.
func (u *crashingUpstream) replace(software string) {
	u.mu.Lock()
	u.software = software
	u.mu.Unlock()
	u.SetSoftware(software)
	u.register()
}

// restartWith ends the upstream, which starts again under its name with another software version.
func (u *crashingUpstream) restartWith(software string) {
	u.mu.Lock()
	u.software = software
	u.mu.Unlock()
	u.SetSoftware(software)
	u.crash()
}

// pieces are the events that a caller received of a stream, over its tries.
type pieces struct {
	status   int
	complete bool
	// events are the events received, without their last empty line.
	events []string
	last   string
}

// software returns the versions that the events name.
func (p pieces) software() map[string]bool {
	found := make(map[string]bool)
	for _, event := range p.events {
		_, version, _ := strings.Cut(event, " of ")
		found[version] = true
	}
	return found
}

// stream asks a VM for a stream, or for the rest of one that an earlier request began, and reads it
// until it ends or has had a number of events; 0 reads all.
func (f *crashingFleet) stream(vm int, id, resumes string, p *pieces, events int) {
	ctx, cancel := context.WithTimeout(f.t.Context(), 5*time.Second)
	defer cancel()
	callers, _ := f.addresses(vm)
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+callers+"/resume-stream/x", strings.NewReader("body of "+id))
	if err != nil {
		f.t.Error(err)
		return
	}
	call.Host = host
	call.Header.Set(platformtest.HeaderRequestID, id)
	call.Header.Set(platformtest.HeaderKey, key)
	call.Header.Set(platformtest.HeaderDeadline, "5000")
	if resumes != "" {
		call.Header.Set(platformtest.HeaderResumes, resumes)
		call.Header.Set(platformtest.HeaderLastEvent, p.last)
	}
	p.status, p.complete = 0, false
	answer, err := f.client.Do(call)
	if err != nil {
		return
	}
	defer answer.Body.Close()
	p.status = answer.StatusCode
	if answer.StatusCode != http.StatusOK {
		return
	}
	lines := bufio.NewScanner(answer.Body)
	for lines.Scan() {
		if number, isID := strings.CutPrefix(lines.Text(), "id: "); isID {
			p.last = number
		}
		if strings.HasPrefix(lines.Text(), "data: ") {
			p.events = append(p.events, lines.Text())
			if events--; events == 0 {
				return
			}
		}
	}
	p.complete = lines.Err() == nil
}

// startTwoVersions starts a fleet with upstreams of which the second half has another software
// version.
func startTwoVersions(t *testing.T, vms, upstreams int, faults generalupstream.Faults) *crashingFleet {
	t.Helper()
	f := startCrashingFleet(t, vms, upstreams, generalupstream.Deadly{}, faults)
	for i, u := range f.upstreams {
		software := "v1"
		if i >= upstreams/2 {
			software = "v1.1"
		}
		u.replace(software)
	}
	waitUntil(t, "all VMs may begin streams at both versions", func() bool {
		for vm := range vms {
			versions := f.softwareStatus(vm).Versions
			if len(versions) != 2 || !versions[0].Recorded || !versions[1].Recorded {
				return false
			}
		}
		return true
	})
	waitUntil(t, "streams begin at both versions", func() bool {
		found := make(map[string]bool)
		var running sync.WaitGroup
		probes := make([]pieces, 60)
		for n := range probes {
			running.Go(func() { f.stream(n%vms, fmt.Sprintf("probe-%d-%d", n, time.Now().UnixNano()), "", &probes[n], 0) })
		}
		running.Wait()
		for _, p := range probes {
			for version := range p.software() {
				found[version] = true
			}
		}
		return len(found) == 2
	})
	waitUntil(t, "all VMs know the streams of all", func() bool {
		for vm := range vms {
			if f.softwareStatus(vm).Streams != f.softwareStatus(0).Streams {
				return false
			}
		}
		return true
	})
	return f
}

// softwareStatus returns what a VM's metrics say of software versions.
func (f *crashingFleet) softwareStatus(vm int) operator.SoftwareStatus {
	f.t.Helper()
	_, operators := f.addresses(vm)
	answer, err := f.client.Get("http://" + operators + "/metrics")
	if err != nil {
		f.t.Fatal(err)
	}
	defer answer.Body.Close()
	var metrics struct{ Software operator.SoftwareStatus }
	if err := json.NewDecoder(answer.Body).Decode(&metrics); err != nil {
		f.t.Fatal(err)
	}
	return metrics.Software
}

// firstID returns the identifier of the request that begins a stream in this round of take-ups.
func (f *crashingFleet) firstID(n int) string { return fmt.Sprintf("first-%d-%d", f.round, n) }

// takeUps begins streams at the first VM, reads some events of each, and takes them up at others
// after between was called. It returns what the callers have.
func (f *crashingFleet) takeUps(count int, vmOf func(n int) int, between func()) []*pieces {
	f.round++
	list := make([]*pieces, count)
	var running sync.WaitGroup
	for n := range count {
		list[n] = &pieces{}
		running.Go(func() { f.stream(0, f.firstID(n), "", list[n], 2) })
	}
	running.Wait()
	between()
	for n := range count {
		running.Go(func() {
			if len(list[n].events) == 2 {
				f.stream(vmOf(n), fmt.Sprintf("second-%d-%d", f.round, n), f.firstID(n), list[n], 0)
			}
		})
	}
	running.Wait()
	return list
}

// checkTakeUps checks that no stream has events of two versions, that those which went on are
// complete, and returns how many were taken up and how many went on.
func checkTakeUps(t *testing.T, list []*pieces) (takenUp, wentOn int) {
	t.Helper()
	for n, p := range list {
		if len(p.events) < 2 {
			continue
		}
		takenUp++
		if len(p.software()) > 1 {
			t.Errorf("stream %d holds %q", n, p.events)
		}
		switch {
		case p.status == http.StatusOK && p.complete && len(p.events) == generalupstream.Events:
			wentOn++
		case p.status != http.StatusServiceUnavailable && p.status != http.StatusTooManyRequests:
			t.Errorf("stream %d ended with status %d and %d events", n, p.status, len(p.events))
		}
	}
	return takenUp, wentOn
}

// Guards against a stream that breaks off at one upstream and goes on, in the same answer, at one of
// another software version, while most still go on.
func TestStreamsGoOnAtTheSoftwareVersionThatBeganThem(t *testing.T) {
	f := startTwoVersions(t, 1, 8, generalupstream.Faults{Delay: 50 * time.Millisecond, Pause: 20 * time.Millisecond})
	if out := f.operate(0, "software", "versions"); !strings.Contains(out, `"software": "v1.1"`) || !strings.Contains(out, `"recorded": true`) {
		t.Errorf("trefoilctl shows %s", out)
	}
	for i := range f.upstreams {
		if i%4 == 0 {
			f.upstreams[i].SetFaults(generalupstream.Faults{Delay: 50 * time.Millisecond, Pause: 20 * time.Millisecond, TruncateAfter: 2})
		}
	}
	var running sync.WaitGroup
	list := make([]pieces, 60)
	for n := range list {
		running.Go(func() { f.stream(0, fmt.Sprintf("stream-%d", n), "", &list[n], 0) })
		time.Sleep(2 * time.Millisecond)
	}
	running.Wait()
	complete := 0
	for n, p := range list {
		if len(p.software()) > 1 {
			t.Errorf("stream %d holds %q", n, p.events)
		}
		if p.complete && len(p.events) == generalupstream.Events {
			complete++
		}
	}
	if complete < len(list)*3/4 {
		t.Errorf("%d of %d streams are complete", complete, len(list))
	}
}

// Guards against a caller's take-up at another VM that goes on at another software version than the
// one that began the stream, also after the VM that began it was lost; most must go on.
func TestTakenUpStreamsGoOnAtTheSoftwareVersionThatBeganThem(t *testing.T) {
	for name, lost := range map[string]bool{"both VMs live": false, "the first VM is lost": true} {
		t.Run(name, func(t *testing.T) {
			f := startTwoVersions(t, 3, 8, generalupstream.Faults{Delay: 100 * time.Millisecond, Pause: 30 * time.Millisecond})
			list := f.takeUps(30, func(n int) int { return 1 + n%2 }, func() {
				if lost {
					f.stops[0]()
				}
			})
			if takenUp, wentOn := checkTakeUps(t, list); takenUp < 20 || wentOn < takenUp*9/10 {
				t.Errorf("%d of %d streams went on, want 9 of 10", wentOn, takenUp)
			}
		})
	}
}

// Guards against take-ups that are joined after the end of all VMs, when nobody knows any more what
// version began a stream: while two versions may have, also if only one is left, they are
// refused, and while only one has ever served they go on.
func TestTakeUpsAfterTheEndOfAllVMs(t *testing.T) {
	restart := func(f *crashingFleet) {
		for _, stop := range f.stops {
			stop()
		}
		f.startDaemon("vm-later", strings.TrimPrefix(f.storeURL, "http://"))
	}
	t.Run("two versions", func(t *testing.T) {
		f := startTwoVersions(t, 2, 6, generalupstream.Faults{Delay: 100 * time.Millisecond, Pause: 30 * time.Millisecond})
		list := f.takeUps(12, func(int) int { return f.vms() - 1 }, func() {
			for _, u := range f.upstreams[:3] {
				f.store.Remove(platform.KindUpstream, u.Instance)
			}
			time.Sleep(500 * time.Millisecond)
			restart(f)
		})
		if takenUp, wentOn := checkTakeUps(t, list); takenUp < 8 || wentOn > 0 {
			t.Errorf("%d of %d streams went on", wentOn, takenUp)
		}
	})
	t.Run("one version", func(t *testing.T) {
		f := startCrashingFleet(t, 2, 6, generalupstream.Deadly{}, generalupstream.Faults{Pause: 30 * time.Millisecond})
		waitUntil(t, "streams begin", func() bool {
			var p pieces
			f.stream(0, fmt.Sprintf("probe-%d", time.Now().UnixNano()), "", &p, 0)
			return p.complete && f.softwareStatus(0).Certain
		})
		list := f.takeUps(12, func(int) int { return f.vms() - 1 }, func() { restart(f) })
		if takenUp, wentOn := checkTakeUps(t, list); takenUp < 8 || wentOn < takenUp {
			t.Errorf("%d of %d streams went on, want all", wentOn, takenUp)
		}
	})
}

// Guards against a take-up on a route that is split among services: it went to a service by its own
// identifier, and not to the one that began the stream. After the end of all VMs nobody knows which
// one that was.
func TestTakeUpsOnASplitRouteGoToTheServiceOfTheStream(t *testing.T) {
	f := startCrashingFleet(t, 2, 6, generalupstream.Deadly{}, generalupstream.Faults{Delay: 50 * time.Millisecond, Pause: 30 * time.Millisecond})
	for i, u := range f.upstreams {
		if i%2 == 0 {
			u.service = "other"
		}
		u.replace("v1")
		// The events tell the services apart.
		u.SetSoftware(u.service)
	}
	config := platformtest.Config(2, []any{
		platformtest.Route("resume", host, "/resume-stream/", platformtest.KindStreaming, "calls", platformtest.Fields{
			"resumable": true, "split": []any{platformtest.Fields{"service": "calls", "weight": 1}, platformtest.Fields{"service": "other", "weight": 1}},
		}),
	}, platformtest.Service("calls", nil), account, key)
	config["services"] = []any{platformtest.Service("calls", nil), platformtest.Service("other", nil)}
	f.store.Put(platform.KindConfig, platform.ConfigName, config)
	waitUntil(t, "streams begin at both services", func() bool {
		found := make(map[string]bool)
		for n := range 12 {
			var p pieces
			f.stream(n%2, fmt.Sprintf("probe-%d-%d", n, time.Now().UnixNano()), "", &p, 1)
			for service := range p.software() {
				found[service] = true
			}
		}
		return found["calls"] && found["other"]
	})
	waitUntil(t, "both VMs know the streams of both", func() bool { return f.softwareStatus(0).Streams == f.softwareStatus(1).Streams })
	list := f.takeUps(20, func(n int) int { return n % 2 }, func() {})
	if takenUp, wentOn := checkTakeUps(t, list); takenUp < 15 || wentOn < takenUp*9/10 {
		t.Errorf("%d of %d streams went on, want 9 of 10", wentOn, takenUp)
	}
	list = f.takeUps(12, func(int) int { return f.vms() - 1 }, func() {
		for _, stop := range f.stops {
			stop()
		}
		f.startDaemon("vm-later", strings.TrimPrefix(f.storeURL, "http://"))
	})
	if takenUp, wentOn := checkTakeUps(t, list); takenUp < 8 || wentOn > 0 {
		t.Errorf("%d of %d streams went on after the end of all VMs, want none", wentOn, takenUp)
	}
}

// Guards against streams that go on at an upstream which has started again under its name with another
// software version while the store is away: 13 to 36 of 1,660 held events of both. It could not
// register, and the VMs took it for the incarnation that had ended.
func TestUpstreamThatRestartedUnseenContinuesNoStream(t *testing.T) {
	pace := generalupstream.Faults{Delay: 20 * time.Millisecond, Pause: 20 * time.Millisecond}
	f := startTwoVersions(t, 2, 4, pace)
	var running sync.WaitGroup
	var list []*pieces
	begin := func(count int) {
		for n := range count {
			p := &pieces{}
			id := fmt.Sprintf("stream-%d", len(list))
			list = append(list, p)
			running.Go(func() { f.stream(n%2, id, "", p, 0) })
			time.Sleep(5 * time.Millisecond)
		}
	}
	begin(20)
	f.store.SetFaults(metastore.Faults{Silent: true})
	reborn, other := f.upstreams[0], f.upstreams[1]
	reborn.restartWith("v1.1")
	begin(60)
	time.Sleep(crashDowntime)
	truncating := pace
	truncating.TruncateAfter = 2
	other.SetFaults(truncating)
	begin(120)
	running.Wait()
	held := 0
	for n, p := range list {
		if len(p.software()) > 1 {
			t.Errorf("stream %d holds %q", n, p.events)
		}
		held += len(p.events)
	}
	if held < len(list)*generalupstream.Events/4 {
		t.Errorf("%d events of %d streams arrived", held, len(list))
	}
}

// Guards against a stream that others know by the version of a first attempt, which never began it,
// while a second attempt has begun it at another version and its VM ended before it told them: 12 to
// 32 of 11,650 streams held events of both. A request of a stream stays at one version.
func TestSecondAttemptsOfAStreamStayAtTheVersionOfTheFirst(t *testing.T) {
	f := startTwoVersions(t, 1, 4, generalupstream.Faults{Delay: 20 * time.Millisecond, Pause: 5 * time.Millisecond})
	// The first upstream of each version ends every connection without an answer.
	for _, u := range []*crashingUpstream{f.upstreams[0], f.upstreams[2]} {
		u.SetFaults(generalupstream.Faults{NoAnswer: 1 << 20})
	}
	var running sync.WaitGroup
	for n := range 60 {
		running.Go(func() {
			var p pieces
			f.stream(0, fmt.Sprintf("twice-%d", n), "", &p, 0)
		})
		time.Sleep(2 * time.Millisecond)
	}
	running.Wait()
	versions := make(map[string][]string)
	for i, u := range f.upstreams {
		for _, run := range u.Runs() {
			if strings.HasPrefix(run.ID, "twice-") {
				versions[run.ID] = append(versions[run.ID], []string{"v1", "v1", "v1.1", "v1.1"}[i])
			}
		}
	}
	twice := 0
	for id, at := range versions {
		if len(at) > 1 {
			twice++
		}
		if len(at) > 1 && slices.Contains(at, "v1") && slices.Contains(at, "v1.1") {
			t.Errorf("stream %s was sent to upstreams of both versions", id)
		}
	}
	if twice == 0 {
		t.Error("no stream was sent twice")
	}
}

// Guards against a VM that is cut off from the store while a release brings a new software version in:
// it knows neither the upstreams nor the record, and must not go on with their streams at the version
// that it knows. Another operator saw it.
func TestVMThatMissedAReleaseJoinsNoStream(t *testing.T) {
	pace := generalupstream.Faults{Delay: 50 * time.Millisecond, Pause: 30 * time.Millisecond}
	f := startCrashingFleet(t, 1, 4, generalupstream.Deadly{}, pace)
	link, err := proxy.New(strings.TrimPrefix(f.storeURL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	f.startDaemon("vm-apart", link.Address())
	waitUntil(t, "both VMs begin streams", func() bool {
		var first, second pieces
		f.stream(0, fmt.Sprintf("probe-%d", time.Now().UnixNano()), "", &first, 0)
		f.stream(1, fmt.Sprintf("probe-%d", time.Now().UnixNano()), "", &second, 0)
		return first.complete && second.complete
	})
	link.StopListening()
	for _, u := range f.upstreams[2:] {
		u.restartWith("v1.1")
	}
	waitUntil(t, "streams begin at the new version", func() bool {
		var running sync.WaitGroup
		probes := make([]pieces, 20)
		for n := range probes {
			running.Go(func() { f.stream(0, fmt.Sprintf("probe-%d-%d", n, time.Now().UnixNano()), "", &probes[n], 1) })
		}
		running.Wait()
		return slices.ContainsFunc(probes, func(p pieces) bool { return p.software()["v1.1"] })
	})
	list := f.takeUps(40, func(int) int { return 1 }, func() {})
	begun := 0
	for _, p := range list {
		if p.software()["v1.1"] {
			begun++
		}
	}
	if takenUp, _ := checkTakeUps(t, list); takenUp < 20 || begun == 0 {
		t.Errorf("%d streams were taken up, %d of them of the new version", takenUp, begun)
	}
}

// Guards against a VM that has had no connection to an upstream and trusts the first one that it opens,
// right after the store has fallen silent: the upstream has started again with another software version
// since, and could not register. While the store answers, most streams go on there.
func TestVMWithoutConnectionsJoinsNoStream(t *testing.T) {
	for name, silent := range map[string]bool{"the store answers": false, "the store falls silent": true} {
		t.Run(name, func(t *testing.T) {
			f := startTwoVersions(t, 1, 4, generalupstream.Faults{Delay: 50 * time.Millisecond, Pause: 30 * time.Millisecond})
			f.startDaemon("vm-late", strings.TrimPrefix(f.storeURL, "http://"))
			list := f.takeUps(40, func(int) int { return 1 }, func() {
				waitUntil(t, "the later VM knows the streams", func() bool { return f.softwareStatus(1).Streams == f.softwareStatus(0).Streams })
				if silent {
					f.store.SetFaults(metastore.Faults{Silent: true})
					f.upstreams[0].restartWith("v1.1")
					time.Sleep(crashDowntime + 50*time.Millisecond)
				}
			})
			takenUp, wentOn := checkTakeUps(t, list)
			if takenUp < 30 || !silent && wentOn < takenUp*9/10 {
				t.Errorf("%d of %d streams went on", wentOn, takenUp)
			}
		})
	}
}
