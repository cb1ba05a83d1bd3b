package queue_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/trefoilwell/trefoilwell/fleet/process/queue"
	"github.com/trefoilwell/trefoilwell/fleet/process/service"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

var start = time.UnixMilli(0)

// bench is a queue with its meter and a source of keys.
type bench struct {
	*queue.Queue
	meter *service.Meter
	next  request.ID
}

func newBench(options queue.Options) *bench {
	meter := service.NewMeter()
	return &bench{Queue: queue.New(options, meter), meter: meter}
}

func (b *bench) item(account version.AccountID, lane request.Lane, arrived time.Time) queue.Item {
	b.next++
	return queue.Item{
		Key:     request.Key{Entry: "vm", ID: b.next},
		Ticket:  request.Ticket{ID: b.next, Account: account, Lane: lane, Estimate: 10},
		Arrived: arrived,
		Expires: arrived.Add(time.Hour),
	}
}

func (b *bench) push(now time.Time, account version.AccountID, lane request.Lane) []queue.Refused {
	return b.Push(now, b.item(account, lane, now), 0)
}

// grant takes the next ticket out and charges cost for it.
func (b *bench) grant(now time.Time, cost request.Cost) queue.Item {
	item, _ := b.Next(now)
	b.Take(now, item.Key)
	hold := service.Hold{Key: item.Key, Attempt: 1}
	b.meter.Grant(now, hold, item.Ticket)
	b.meter.Finish(hold, cost, request.OutcomeDone)
	return item
}

func TestLowestServiceGoesFirst(t *testing.T) {
	b := newBench(queue.Options{})
	for range 300 {
		b.push(start, 1, request.LaneShort)
		b.push(start, 2, request.LaneShort)
	}
	served := map[version.AccountID]request.Cost{}
	for range 200 {
		item, _ := b.Next(start)
		cost := request.Cost(10)
		if item.Ticket.Account == 2 {
			cost = 90
		}
		served[item.Ticket.Account] += b.grantedCost(start, cost)
	}
	if gap := served[1] - served[2]; max(gap, -gap) > 90 {
		t.Fatalf("served %v: gap %v over the largest request", served, gap)
	}
}

func (b *bench) grantedCost(now time.Time, cost request.Cost) request.Cost {
	b.grant(now, cost)
	return cost
}

func TestShortGoesBeforeLongAndLongGetsItsTurn(t *testing.T) {
	b := newBench(queue.Options{})
	for range 10 {
		b.push(start, 1, request.LaneLong)
	}
	for range 20 {
		b.push(start.Add(time.Second), 1, request.LaneShort)
	}
	var lanes []request.Lane
	for range 10 {
		lanes = append(lanes, b.grant(start.Add(time.Second), 10).Ticket.Lane)
	}
	s, l := request.LaneShort, request.LaneLong
	want := []request.Lane{s, s, s, s, l, s, s, s, s, l}
	if !slices.Equal(lanes, want) {
		t.Fatalf("lanes %v, want %v", lanes, want)
	}
}

func TestAccountAheadOfOthersStillGetsAGrant(t *testing.T) {
	b := newBench(queue.Options{})
	hold := service.Hold{Attempt: 1}
	b.meter.Grant(start, hold, request.Ticket{Account: 1})
	b.meter.Finish(hold, 1e9, request.OutcomeDone)
	b.push(start, 1, request.LaneShort)
	now := start
	waited := time.Duration(-1)
	for range 3000 {
		b.push(now, 2, request.LaneShort)
		if b.grant(now, 10).Ticket.Account == 1 {
			waited = now.Sub(start)
			break
		}
		now = now.Add(20 * time.Millisecond)
	}
	if waited < 0 || waited > queue.StarvationAge+time.Second {
		t.Fatalf("account that is ahead waited %v", waited)
	}
}

func TestReturningAccountHasSavedNothingUp(t *testing.T) {
	b := newBench(queue.Options{})
	for range 100 {
		b.push(start, 1, request.LaneShort)
	}
	for range 50 {
		b.grant(start, 100)
	}
	for range 100 {
		b.push(start, 2, request.LaneShort)
	}
	grants := map[version.AccountID]int{}
	for range 20 {
		grants[b.grant(start, 100).Ticket.Account]++
	}
	if grants[1] < 9 || grants[2] < 9 {
		t.Fatalf("grants after the return: %v", grants)
	}
}

func TestFullQueueRefusesTheFlooderFirst(t *testing.T) {
	b := newBench(queue.Options{MaxTotal: 100})
	for range 100 {
		b.push(start, 1, request.LaneShort)
	}
	if refused := b.push(start, 1, request.LaneShort); len(refused) != 1 || refused[0].Reason != request.ReasonQueueFull {
		t.Fatalf("flooder's next ticket: %v", refused)
	}
	for i := range 60 {
		refused := b.push(start.Add(time.Second), 2, request.LaneShort)
		if len(refused) != 1 {
			t.Fatalf("ticket %d refused %d", i, len(refused))
		}
		want, reason := version.AccountID(1), request.ReasonAccountQueueFull
		if i >= 50 {
			want, reason = 2, request.ReasonQueueFull
		}
		if refused[0].Item.Ticket.Account != want || refused[0].Reason != reason {
			t.Fatalf("ticket %d refused account %d with %q", i, refused[0].Item.Ticket.Account, refused[0].Reason)
		}
	}
	if b.Len() != 100 {
		t.Fatalf("%d waiting", b.Len())
	}
}

func TestRetryAfterFollowsTheDrainRate(t *testing.T) {
	b := newBench(queue.Options{})
	now := start
	for range 300 {
		b.push(now, 1, request.LaneShort)
	}
	if after := b.RetryAfter(now, 1); after != queue.MaxRetryAfter {
		t.Fatalf("no grant yet: %v", after)
	}
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		b.grant(now, 10)
	}
	if after := b.RetryAfter(now, 1).Round(time.Second); after != 20*time.Second {
		t.Fatalf("200 waiting at 10 a second: %v", after)
	}
}

// TestEveryTicketEndsOnce checks, over any order of operations, that each
// ticket leaves the queue exactly once and the bounds hold.
func TestEveryTicketEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total, perAccount = 20, 12
		b := newBench(queue.Options{MaxTotal: total, MaxPerAccount: perAccount})
		inside := map[request.Key]version.AccountID{}
		end := func(item queue.Item) {
			if _, present := inside[item.Key]; !present {
				t.Fatalf("%v ended twice", item.Key)
			}
			delete(inside, item.Key)
		}
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0, 1:
				account := version.AccountID(rapid.IntRange(1, 4).Draw(t, "account"))
				item := b.item(account, request.Lane(rapid.IntRange(0, 1).Draw(t, "lane")), now)
				item.Expires = now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "wait")) * time.Second)
				inside[item.Key] = account
				for _, refused := range b.Push(now, item, 0) {
					end(refused.Item)
				}
			case 2:
				if item, waits := b.Next(now); waits {
					end(item)
					b.grant(now, 10)
				}
			case 3:
				for _, item := range b.Expired(now) {
					end(item)
				}
			}
			if b.Len() != len(inside) || b.Len() > total {
				t.Fatalf("%d in the queue, %d expected", b.Len(), len(inside))
			}
		}
	})
}

// BenchmarkDecision measures one ticket and one grant with 100 backlogged
// accounts.
func BenchmarkDecision(bench *testing.B) {
	b := newBench(queue.Options{})
	random := rand.New(rand.NewPCG(1, 1))
	for i := range 1000 {
		b.push(start, version.AccountID(i%100), request.LaneShort)
	}
	for bench.Loop() {
		b.push(start, version.AccountID(random.IntN(100)), request.LaneShort)
		b.grant(start, 10)
	}
}
