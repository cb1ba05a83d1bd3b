package incarnation

import (
	"fmt"
	"testing"
	"time"
)

const registration = 1200 * time.Millisecond

// fixture is a tracker with a connection that a read of the registrations has proven.
type fixture struct {
	*Tracker
	now   time.Time
	first *Conn
}

func newFixture() *fixture {
	f := &fixture{Tracker: New(registration), now: time.Unix(1000, 0)}
	f.first = f.Open(f.now, "a")
	f.now = f.now.Add(5 * time.Second)
	f.Read(f.now)
	return f
}

// stream lets the upstream send on a connection for a time.
func (f *fixture) stream(c *Conn, length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(20 * time.Millisecond) {
		f.Received(f.now, c)
	}
}

// Guards against an upstream that starts again under its address while the store is away, and is
// taken for the incarnation that is registered.
func TestRestartedUpstreamIsNotProven(t *testing.T) {
	f := newFixture()
	f.stream(f.first, time.Second)
	second := f.Open(f.now, "a")
	if !f.Proven(second) {
		t.Error("a connection beside one that is in use is not proven")
	}
	f.Close(f.now, second, true)
	f.Close(f.now, f.first, true)
	f.now = f.now.Add(300 * time.Millisecond)
	reborn := f.Open(f.now, "a")
	f.stream(reborn, 10*time.Second)
	if f.Proven(reborn) || f.Proven(f.Open(f.now, "a")) {
		t.Error("a connection after the upstream's end is proven without a read of its registration")
	}
	f.Read(f.now.Add(-11 * time.Second))
	if f.Trusted(f.now.Add(-10*time.Second), reborn, true) {
		t.Error("a connection is trusted though the upstream closed all before it")
	}
	f.Read(f.now.Add(-10 * time.Second))
	if f.Proven(reborn) {
		t.Error("a read that may have missed the registration proves the connection")
	}
	f.Read(f.now)
	if !f.Proven(reborn) {
		t.Error("a later read does not prove the connection")
	}
}

// Guards against bytes that waited while this process stood still, and are taken for a sign that
// the upstream lives: it may have started again meanwhile.
func TestOldBytesAreNoSignOfLife(t *testing.T) {
	f := newFixture()
	f.stream(f.first, time.Second)
	f.now = f.now.Add(3 * time.Second)
	f.Received(f.now, f.first)
	if f.Proven(f.Open(f.now, "a")) {
		t.Error("bytes that came before a standstill prove a new connection")
	}
	f.stream(f.first, time.Second)
	if !f.Proven(f.Open(f.now, "a")) {
		t.Error("an upstream that goes on sending is not proven again")
	}
}

// Guards against streams that are refused though nothing speaks against the upstream, and against
// trust in registrations that cannot tell of its restart.
func TestUnprovenConnectionsAreTrustedWhileRegistrationsAreRead(t *testing.T) {
	f := newFixture()
	fresh := f.Open(f.now, "b")
	if f.Proven(fresh) || !f.Trusted(f.now, fresh, true) {
		t.Error("a connection to an upstream that nothing speaks against is not trusted")
	}
	f.Close(f.now, f.Open(f.now, "b"), false)
	if !f.Trusted(f.now, f.Open(f.now, "b"), true) {
		t.Error("a connection is not trusted after this process closed another one")
	}
	if f.Trusted(f.now, f.Open(f.now, "b"), false) {
		t.Error("a connection is trusted while the store does not answer")
	}
	f.Ended(f.now, "b")
	f.now = f.now.Add(300 * time.Millisecond)
	reborn := f.Open(f.now, "b")
	if f.Trusted(f.now, reborn, true) {
		t.Error("a connection after the upstream broke others off is trusted")
	}
	f.now = f.now.Add(registration)
	f.Read(f.now)
	if !f.Trusted(f.now, reborn, true) {
		t.Error("a later read does not make the connection trusted")
	}
	f.now = f.now.Add(freshTime + 1)
	if f.Trusted(f.now, f.Open(f.now, "c"), true) {
		t.Error("a connection is trusted though the registrations were not read lately")
	}
	if !f.Trusted(f.now, f.first, false) {
		t.Error("a proven connection is not trusted while the store is away")
	}
}

// Guards against streams that cannot be continued because they began at an upstream that had broken
// another one off: its connection was the only one, and its end was taken for that of the upstream.
func TestBrokenAnswerIsNoEndOfTheUpstream(t *testing.T) {
	f := newFixture()
	f.Close(f.now, f.first, true)
	if f.Trusted(f.now, f.Open(f.now, "a"), true) {
		t.Error("a connection is trusted after the upstream closed the only idle one")
	}
	g := newFixture()
	g.Close(g.now, g.first, true)
	g.BrokeOff(g.now, "a")
	if !g.Trusted(g.now, g.Open(g.now, "a"), true) {
		t.Error("a connection is not trusted after the upstream broke off an answer")
	}
	g.Ended(g.now, "a")
	g.BrokeOff(g.now, "a")
	if g.Trusted(g.now, g.Open(g.now, "a"), true) {
		t.Error("a connection is trusted after a crash")
	}
}

func TestConnectionsOfOtherAddressesProveNothing(t *testing.T) {
	f := newFixture()
	f.stream(f.first, time.Second)
	if f.Proven(f.Open(f.now, "b")) {
		t.Error("a connection is proven by one to another address")
	}
}

func TestAddressesAreBounded(t *testing.T) {
	f := newFixture()
	for i := range 3 * maxAddresses {
		f.now = f.now.Add(time.Second)
		f.Close(f.now, f.Open(f.now, fmt.Sprint(i)), false)
	}
	if len(f.addresses) > maxAddresses {
		t.Errorf("%d addresses are remembered, over %d", len(f.addresses), maxAddresses)
	}
}

// Guards against addresses that are remembered without limit because all of them are recent, as with
// registrations that change their address each time; the one that was left first goes.
func TestRecentAddressesAreBounded(t *testing.T) {
	f := newFixture()
	for i := range 2 * maxAddresses {
		f.now = f.now.Add(time.Millisecond)
		f.Close(f.now, f.Open(f.now, fmt.Sprintf("address-%d", i)), true)
	}
	if len(f.addresses) > maxAddresses {
		t.Errorf("%d addresses are remembered, over %d", len(f.addresses), maxAddresses)
	}
	if f.addresses["a"] == nil || f.addresses[fmt.Sprintf("address-%d", 2*maxAddresses-1)] == nil {
		t.Error("an address with a connection, or the last one, is forgotten")
	}
}

// Guards against a VM that has had no connection to an upstream and trusts one without any sign that the
// store still answers: the upstream may have started again since the last answer.
func TestFirstConnectionIsCheckedByAnAnswerOfTheStore(t *testing.T) {
	f := newFixture()
	if !f.Checked(f.first, time.Time{}) {
		t.Error("a proven connection needs an answer")
	}
	for after, want := range map[time.Duration]bool{-time.Second: true, restartTime / 2: true, restartTime: false, time.Second: false} {
		opened := f.Open(f.now, "b")
		if got := f.Checked(opened, f.now.Add(-after)); got != want {
			t.Errorf("opened %v after the answer: checked is %t, want %t", after, got, want)
		}
		if f.Checked(opened, time.Time{}) {
			t.Error("checked without any answer")
		}
	}
}
