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

// maxBytesPerChange is the maximum number of bytes that a daemon receives for a
// change of one upstream at the fleet's target size. With 11,000 changes a day it
// stays below a third of 3 KB/s, and the daemon sends as much again.
const maxBytesPerChange = 7_500

// largeDocument returns a document of the fleet's target size, 990 accounts and
// 11,000 upstreams, in which one upstream has the given warm limit.
func largeDocument(warmLimit int) *version.Document {
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
	document.Upstreams[77].WarmLimit = warmLimit
	return document
}

// largeHead returns the head with the given number and its parts. The warm limit of
// one upstream differs between consecutive numbers.
func largeHead(tb testing.TB, number version.Number) PlatformHead {
	tb.Helper()
	parts, err := part.Split(largeDocument(64 + int(number)%2))
	if err != nil {
		tb.Fatal(err)
	}
	event := PlatformHead{Parts: make(map[string][]byte)}
	for _, p := range parts {
		event.Parts[p.Ref.SHA256] = p.Data
	}
	head := version.Head{Number: number, Preset: "ordinary", Parts: part.Refs(parts)}.WithOperation(fmt.Sprint(number))
	if event.Encoded, err = json.Marshal(head); err != nil {
		tb.Fatal(err)
	}
	return event
}

// exchangeMessages passes messages between two cores until none is left and returns
// the number of bytes that b received.
func exchangeMessages(tb testing.TB, now time.Time, a, b *Core) int {
	tb.Helper()
	receivedBytes := 0
	for sent := true; sent; {
		sent = false
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
				sent = true
				frame, err := wire.Encode([]wire.Message{send.Message})
				if err != nil {
					tb.Fatal(err)
				}
				if to == b {
					receivedBytes += len(frame)
				}
				to.Step(now, Receive{From: from.options.VM, Message: send.Message})
			}
		}
	}
	return receivedBytes
}

// linkedPair returns two linked cores that have applied the first head of the
// fleet's target size.
func linkedPair(tb testing.TB, now time.Time) (a, b *Core) {
	tb.Helper()
	a = New(now, Options{VM: "a", DataCentre: "north"})
	b = New(now, Options{VM: "b", DataCentre: "north"})
	a.Step(now, PeerUp{VM: "b", DataCentre: "north"})
	b.Step(now, PeerUp{VM: "a", DataCentre: "north"})
	a.Step(now, largeHead(tb, 1))
	exchangeMessages(tb, now, a, b)
	if b.HeadNumber() != 1 {
		tb.Fatal("the second core has not applied the first head")
	}
	return a, b
}

func TestBytesOfAChangeAtTheTargetSize(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	a, b := linkedPair(t, now)
	a.Step(now, largeHead(t, 2))
	received := exchangeMessages(t, now, a, b)
	if b.HeadNumber() != 2 || b.config.Upstreams[version.NewUpstreamID("upstream-of-a-team-77")].WarmLimit != 64 {
		t.Fatalf("got version %d, want version 2 with a warm limit of 64", b.HeadNumber())
	}
	if received > maxBytesPerChange {
		t.Errorf("received %d bytes for a change of one upstream, want at most %d", received, maxBytesPerChange)
	}
	t.Logf("received %d bytes for a change of one upstream", received)
}

// BenchmarkChange measures the processor time that a daemon spends on a change of
// one upstream at the fleet's target size: fetching, decoding and compiling.
func BenchmarkChange(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	source, follower := linkedPair(b, now)
	number := version.Number(1)
	for b.Loop() {
		b.StopTimer()
		number++
		source.Step(now, largeHead(b, number))
		b.StartTimer()
		exchangeMessages(b, now, source, follower)
	}
	if follower.HeadNumber() != number {
		b.Fatalf("got version %d, want %d", follower.HeadNumber(), number)
	}
}
