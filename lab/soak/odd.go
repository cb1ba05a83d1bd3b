package soak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
	"github.com/trefoilwell/trefoilwell/lab/crowd"
	"github.com/trefoilwell/trefoilwell/lab/generalupstream"
	"github.com/trefoilwell/trefoilwell/lab/metastore"
	"github.com/trefoilwell/trefoilwell/platform/platformtest"
)

const (
	// oddStream is the stream of the seed's random numbers for odd faults.
	oddStream = 1<<32 + 3
	// maxOddPause is the longest time between two odd faults, and maxOddLength the longest
	// duration of one.
	maxOddPause  = 4 * time.Second
	maxOddLength = 3 * time.Second
	// endlessAnswers is how many answers of an upstream are endless.
	endlessAnswers = 200
	// crowdSize is the number of clients of a crowd.
	crowdSize = 250
	// crowdBodyBytes is the size of the bodies of a crowd that are within the limit.
	crowdBodyBytes = 1 << 20
	// emptyTime is how long a version without accounts is the newest one.
	emptyTime = 2500 * time.Millisecond
	// rebornDowntime is how long an upstream is down that starts again unseen.
	rebornDowntime = 300 * time.Millisecond
	// memoryInterval is the time between two looks at the memory of the processes.
	memoryInterval = 50 * time.Millisecond
)

// endlessForms are the parts of an answer that have no end, in turn.
var endlessForms = []generalupstream.Faults{{Endless: endlessAnswers}, {EndlessHeads: endlessAnswers}, {EndlessBodies: endlessAnswers}}

// runOdd makes faults during storms that no other disturbance makes: answers without end, crowds of
// clients outside the limits, versions without accounts, and upstreams that start again with another software
// version while the store is silent.
func (s *scenario) runOdd(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		pause := time.Duration(random.Int64N(int64(maxOddPause)))
		i, length := random.IntN(len(s.fleet.upstreams)), time.Duration(random.Int64N(int64(maxOddLength)))
		kind := random.IntN(3)
		if wait.Sleep(ctx, pause) != nil {
			return
		}
		s.awaitStorm(ctx)
		s.mu.Lock()
		form, clients := endlessForms[s.odd%len(endlessForms)], crowd.Forms[s.odd%len(crowd.Forms)]
		s.odd++
		s.mu.Unlock()
		switch kind {
		case 0:
			s.log.Info("endless answers", "upstream", i, "for", length, "heads", form.EndlessHeads > 0, "bodies", form.EndlessBodies > 0, "crowd", clients.Name)
			s.fleet.upstreams[i].SetFaults(form)
			s.fleet.crowd(ctx, clients, i%len(s.fleet.daemons), length)
			s.fleet.upstreams[i].SetFaults(generalupstream.Faults{})
		case 1:
			s.log.Info("version without accounts")
			s.fleet.publishWithoutAccounts()
			_ = wait.Sleep(ctx, emptyTime)
			s.fleet.publishNextVersion()
		case 2:
			s.startAgainUnseen(ctx, i, length)
		}
	}
}

// crowd sends a crowd of clients outside the limits to a daemon for a time.
func (f *fleet) crowd(ctx context.Context, form crowd.Form, vm int, length time.Duration) {
	target := crowd.Target{
		Address: f.daemons[vm].callersProxy.Address(), Host: host, Path: "/safe/x", BodyBytes: crowdBodyBytes,
		Header: platformtest.HeaderKey + ": " + apiKeyOf(f.newestVersion()) + "\r\n" + platformtest.HeaderRequestID + ": crowd\r\n",
	}
	if form.Whole {
		// Nothing of a crowd may be run.
		target.Path = "/nowhere"
	}
	clients := crowd.Start(ctx, form, target, crowdSize)
	defer clients.Stop()
	_ = wait.Sleep(ctx, length)
}

// startAgainUnseen lets an upstream start again under its name, with another software version, while
// the store is silent for a time.
func (s *scenario) startAgainUnseen(ctx context.Context, i int, silence time.Duration) {
	if !s.beginRestart(i) {
		return
	}
	defer s.endRestart(i)
	if s.isCold(i) {
		// It would register as warm again while it must get no more than a cold one may.
		return
	}
	u := s.fleet.upstreams[i]
	s.fleet.mu.Lock()
	software := softwareVersions[0]
	if u.software == software {
		software = softwareVersions[1]
	}
	s.fleet.mu.Unlock()
	s.log.Info("upstream starts again unseen", "upstream", i, "software", software, "silence", silence)
	s.fleet.store.SetFaults(metastore.Faults{Silent: true})
	u.proxy.StopListening()
	_ = wait.Sleep(ctx, rebornDowntime)
	u.SetSoftware(software)
	s.fleet.mu.Lock()
	u.software = software
	s.fleet.mu.Unlock()
	s.listenAgain(u.proxy)
	_ = wait.Sleep(ctx, silence)
	s.fleet.store.SetFaults(metastore.Faults{})
	// It is warm: what processes send to a cold upstream that could not register is checked by other
	// disturbances.
	s.fleet.renewIncarnation(i)
}

// watchMemory records the highest memory of the processes until ctx ends.
func (f *fleet) watchMemory(ctx context.Context) {
	for wait.Sleep(ctx, memoryInterval) == nil {
		for _, d := range f.daemons {
			d.mu.Lock()
			d.peakBytes = max(d.peakBytes, anonymousBytes(d.command.Process.Pid))
			d.mu.Unlock()
		}
	}
}

// anonymousBytes returns the anonymous memory of a process; 0 if it has ended.
func anonymousBytes(pid int) int64 {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if text, found := strings.CutPrefix(lines.Text(), "RssAnon:"); found {
			kilobytes, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")), 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// peakMemory returns the highest memory of the processes of each VM, in bytes.
func (f *fleet) peakMemory() []int64 {
	var peaks []int64
	for _, d := range f.daemons {
		d.mu.Lock()
		peaks = append(peaks, d.peakBytes)
		d.mu.Unlock()
	}
	return peaks
}

// checkMemory checks that no process has more memory than its VM.
func (e evidence) checkMemory(report func(string, string, ...any)) {
	for vm, peak := range e.peakMemory {
		if peak > memoryMB<<20 {
			report("memory", "a process of vm-%d had %d MB of anonymous memory, its VM has %d", vm, peak>>20, memoryMB)
		}
	}
}
