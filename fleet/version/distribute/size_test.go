package distribute

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/fleet/version/part"
)

// bytesPerChange bounds what a daemon receives for a change of one upstream at
// the coming size: 11,000 changes a day leave it under a third of 3 KB a second,
// and as much again is sent.
const bytesPerChange = 7_500

// sizedDocument returns a document of the coming size in which one upstream has
// a limit.
func sizedDocument(limit int) *version.Document {
	document := testDocument()
	document.Pools = []version.PoolSpec{{Name: "pool", Kind: version.PoolModel, Models: []string{"model"}}}
	for i := range 990 {
		name := fmt.Sprintf("client-account-%d", i)
		document.Accounts = append(document.Accounts, version.AccountSpec{Name: name, Weight: 2, KeyDigests: []string{version.KeyDigest(name)}})
	}
	for i := range 11_000 {
		document.Upstreams = append(document.Upstreams, version.UpstreamSpec{
			Name: fmt.Sprintf("upstream-of-a-team-%d", i), Pool: "pool", DataCentre: "north",
			Address: fmt.Sprintf("10.%d.%d.%d:8000", i>>16, i>>8&255, i&255), Team: fmt.Sprintf("team-%d", i%40), WarmLimit: 64,
		})
	}
	document.Upstreams[77].WarmLimit = limit
	return document
}

// sizedHead is the head after a number of changes, with its parts.
func sizedHead(tb testing.TB, number version.Number) PlatformHead {
	tb.Helper()
	parts, err := part.Split(sizedDocument(64 + int(number)%2))
	if err != nil {
		tb.Fatal(err)
	}
	event := PlatformHead{Parts: make(map[string][]byte)}
	for _, p := range parts {
		event.Parts[p.Ref.SHA256] = p.Data
	}
	head := version.Head{Number: number, Preset: "ordinary", Parts: part.Refs(parts)}.By(fmt.Sprint(number))
	if event.Encoded, err = json.Marshal(head); err != nil {
		tb.Fatal(err)
	}
	return event
}

// exchange passes messages between two cores until none is left and returns the
// bytes that the second one received.
func exchange(tb testing.TB, now time.Time, a, b *Core) int {
	tb.Helper()
	received := 0
	for moved := true; moved; {
		moved = false
		for _, from := range []*Core{a, b} {
			to := b
			if from == b {
				to = a
			}
			for _, action := range from.Ready() {
				send, isSend := action.(Send)
				if !isSend {
					continue
				}
				moved = true
				frame, err := wire.Encode([]wire.Message{send.Message})
				if err != nil {
					tb.Fatal(err)
				}
				if to == b {
					received += len(frame)
				}
				to.Step(now, Receive{From: from.options.VM, Message: send.Message})
			}
		}
	}
	return received
}

// pair returns two linked cores that hold the first head of the coming size.
func pair(tb testing.TB, now time.Time) (a, b *Core) {
	tb.Helper()
	a = New(now, Options{VM: "a", DataCentre: "north"})
	b = New(now, Options{VM: "b", DataCentre: "north"})
	a.Step(now, PeerUp{VM: "b", DataCentre: "north"})
	b.Step(now, PeerUp{VM: "a", DataCentre: "north"})
	a.Step(now, sizedHead(tb, 1))
	exchange(tb, now, a, b)
	if b.Confirmed() != 1 {
		tb.Fatal("the first head did not arrive")
	}
	return a, b
}

func TestAChangeAtTheComingSizeStaysWithinItsBytes(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	a, b := pair(t, now)
	a.Step(now, sizedHead(t, 2))
	received := exchange(t, now, a, b)
	if b.Confirmed() != 2 || b.config.Upstreams[version.NewUpstreamID("upstream-of-a-team-77")].WarmLimit != 64 {
		t.Fatalf("version %d", b.Confirmed())
	}
	if received > bytesPerChange {
		t.Errorf("%d bytes for a change, want at most %d", received, bytesPerChange)
	}
	t.Logf("%d bytes for a change of one upstream", received)
}

// BenchmarkChange is the processor time that a daemon spends on a change of one
// upstream at the coming size: fetching, decoding, compiling.
func BenchmarkChange(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	source, follower := pair(b, now)
	number := version.Number(1)
	for b.Loop() {
		b.StopTimer()
		number++
		source.Step(now, sizedHead(b, number))
		b.StartTimer()
		exchange(b, now, source, follower)
	}
	if follower.Confirmed() != number {
		b.Fatalf("version %d, want %d", follower.Confirmed(), number)
	}
}
