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

// fixture is a queue with its meter and a source of request IDs.
type fixture struct {
	*queue.Queue
	meter  *service.Meter
	lastID request.ID
}

func newFixture(options queue.Options) *fixture {
	meter := service.NewMeter()
	return &fixture{Queue: queue.New(options, meter), meter: meter}
}

func (f *fixture) item(account version.AccountID, lane request.Lane, arrived time.Time) queue.Item {
	f.lastID++
	return queue.Item{
		Key:     request.Key{Entry: "vm", ID: f.lastID},
		Ticket:  request.Ticket{ID: f.lastID, Account: account, Lane: lane, Estimate: 10},
		Arrived: arrived,
		Expires: arrived.Add(time.Hour),
	}
}

func (f *fixture) push(now time.Time, account version.AccountID, lane request.Lane) []queue.Refused {
	return f.Push(now, f.item(account, lane, now), 0)
}

// grant grants the next ticket and charges cost for it.
func (f *fixture) grant(now time.Time, cost request.Cost) queue.Item {
	item, _ := f.Next(now)
	f.Grant(now, item.Key)
	attemptKey := service.AttemptKey{Key: item.Key, Attempt: 1}
	f.meter.Grant(now, attemptKey, item.Ticket)
	f.meter.Finish(attemptKey, cost, request.OutcomeDone)
	return item
}

func TestLowestServiceGoesFirst(t *testing.T) {
	f := newFixture(queue.Options{})
	for range 300 {
		f.push(start, 1, request.LaneShort)
		f.push(start, 2, request.LaneShort)
	}
	served := map[version.AccountID]request.Cost{}
	for range 200 {
		item, _ := f.Next(start)
		cost := request.Cost(10)
		if item.Ticket.Account == 2 {
			cost = 90
		}
		served[item.Ticket.Account] += f.grantedCost(start, cost)
	}
	if gap := served[1] - served[2]; max(gap, -gap) > 90 {
		t.Fatalf("served cost by account %v: difference %v exceeds the largest request", served, gap)
	}
}

// grantedCost grants the next ticket and returns the cost that was charged.
func (f *fixture) grantedCost(now time.Time, cost request.Cost) request.Cost {
	f.grant(now, cost)
	return cost
}

func TestShortGoesBeforeLongWithinTheLimitInARow(t *testing.T) {
	f := newFixture(queue.Options{})
	for range 10 {
		f.push(start, 1, request.LaneLong)
	}
	for range 20 {
		f.push(start.Add(time.Second), 1, request.LaneShort)
	}
	var lanes []request.Lane
	for range 10 {
		lanes = append(lanes, f.grant(start.Add(time.Second), 10).Ticket.Lane)
	}
	s, l := request.LaneShort, request.LaneLong
	want := []request.Lane{s, s, s, s, l, s, s, s, s, l}
	if !slices.Equal(lanes, want) {
		t.Fatalf("granted lanes %v, want %v", lanes, want)
	}
}

// Guards against starvation: an account far ahead of the others by level never comes
// first while they keep sending requests.
func TestAccountAheadOfOthersGetsAGrantAfterStarvationAge(t *testing.T) {
	f := newFixture(queue.Options{})
	attemptKey := service.AttemptKey{Attempt: 1}
	f.meter.Grant(start, attemptKey, request.Ticket{Account: 1})
	f.meter.Finish(attemptKey, 1e9, request.OutcomeDone)
	f.push(start, 1, request.LaneShort)
	now := start
	waited := time.Duration(-1)
	for range 3000 {
		f.push(now, 2, request.LaneShort)
		if f.grant(now, 10).Ticket.Account == 1 {
			waited = now.Sub(start)
			break
		}
		now = now.Add(20 * time.Millisecond)
	}
	if waited < 0 || waited > queue.StarvationAge+time.Second {
		t.Fatalf("account ahead of the others got its grant after %v (-1ns: never)", waited)
	}
}

func TestAccountGainsNoCreditWhileIdle(t *testing.T) {
	f := newFixture(queue.Options{})
	for range 100 {
		f.push(start, 1, request.LaneShort)
	}
	for range 50 {
		f.grant(start, 100)
	}
	for range 100 {
		f.push(start, 2, request.LaneShort)
	}
	grants := map[version.AccountID]int{}
	for range 20 {
		grants[f.grant(start, 100).Ticket.Account]++
	}
	if grants[1] < 9 || grants[2] < 9 {
		t.Fatalf("grants by account after one returned from idle: %v, want at least 9 of 20 each", grants)
	}
}

func TestFullQueueRefusesTheLargestAccountFirst(t *testing.T) {
	f := newFixture(queue.Options{MaxTotal: 100})
	for range 100 {
		f.push(start, 1, request.LaneShort)
	}
	if refused := f.push(start, 1, request.LaneShort); len(refused) != 1 || refused[0].Reason != request.ReasonQueueFull {
		t.Fatalf("refused %v, want only the next ticket of the account that fills the queue", refused)
	}
	for i := range 60 {
		refused := f.push(start.Add(time.Second), 2, request.LaneShort)
		if len(refused) != 1 {
			t.Fatalf("ticket %d led to %d refused tickets, want 1", i, len(refused))
		}
		want, reason := version.AccountID(1), request.ReasonAccountQueueFull
		if i >= 50 {
			want, reason = 2, request.ReasonQueueFull
		}
		if refused[0].Item.Ticket.Account != want || refused[0].Reason != reason {
			t.Fatalf("ticket %d led to a refusal of account %d with %q", i, refused[0].Item.Ticket.Account, refused[0].Reason)
		}
	}
	if f.Len() != 100 {
		t.Fatalf("%d tickets wait, want 100", f.Len())
	}
}

func TestRetryAfterFollowsTheDrainRate(t *testing.T) {
	f := newFixture(queue.Options{})
	now := start
	for range 300 {
		f.push(now, 1, request.LaneShort)
	}
	if after := f.RetryAfter(now, 1); after != queue.MaxRetryAfter {
		t.Fatalf("advised wait before any grant is %v, want the maximum", after)
	}
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		f.grant(now, 10)
	}
	if after := f.RetryAfter(now, 1).Round(time.Second); after != 20*time.Second {
		t.Fatalf("advised wait is %v, want 20s for 200 tickets at 10 grants a second", after)
	}
}

// TestEveryTicketLeavesOnce checks for random sequences of operations that each ticket
// leaves the queue exactly once and that the queue stays within its limits.
func TestEveryTicketLeavesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total, perAccount = 20, 12
		f := newFixture(queue.Options{MaxTotal: total, MaxPerAccount: perAccount})
		inside := map[request.Key]version.AccountID{}
		leave := func(item queue.Item) {
			if _, present := inside[item.Key]; !present {
				t.Fatalf("ticket %v left the queue twice", item.Key)
			}
			delete(inside, item.Key)
		}
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0, 1:
				account := version.AccountID(rapid.IntRange(1, 4).Draw(t, "account"))
				item := f.item(account, request.Lane(rapid.IntRange(0, 1).Draw(t, "lane")), now)
				item.Expires = now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "wait")) * time.Second)
				inside[item.Key] = account
				for _, refused := range f.Push(now, item, 0) {
					leave(refused.Item)
				}
			case 2:
				if item, waits := f.Next(now); waits {
					leave(item)
					f.grant(now, 10)
				}
			case 3:
				for _, item := range f.Expired(now) {
					leave(item)
				}
			}
			if f.Len() != len(inside) || f.Len() > total {
				t.Fatalf("%d tickets in the queue, want %d", f.Len(), len(inside))
			}
		}
	})
}

// BenchmarkPushAndGrant measures one Push and one grant with 100 backlogged accounts.
func BenchmarkPushAndGrant(benchmark *testing.B) {
	f := newFixture(queue.Options{})
	random := rand.New(rand.NewPCG(1, 1))
	for i := range 1000 {
		f.push(start, version.AccountID(i%100), request.LaneShort)
	}
	for benchmark.Loop() {
		f.push(start, version.AccountID(random.IntN(100)), request.LaneShort)
		f.grant(start, 10)
	}
}
