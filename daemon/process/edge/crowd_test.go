package edge

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/platform"
	"github.com/trefoilwell/trefoilwell/platform/platformtest"
)

// backlogListener is a fake listener with a backlog of connections. It counts those that are
// closed.
type backlogListener struct {
	net.Listener
	waiting, closed int
}

func (l *backlogListener) Accept() (net.Conn, error) {
	if l.waiting == 0 {
		return nil, io.EOF
	}
	l.waiting--
	return closeCounter{closed: &l.closed}, nil
}

// closeCounter is a fake connection that counts calls of Close.
type closeCounter struct {
	net.Conn
	closed *int
}

func (c closeCounter) Close() error {
	*c.closed++
	return nil
}

// Guards against a process that runs out of memory when the callers of other VMs connect to
// it. A VM of 112 MB with a limit of 955 connections had 2,272 open, each with its buffers and
// a goroutine that waited for the processor.
func TestRejectsConnectionsAboveTheHardLimit(t *testing.T) {
	limiter := newConnLimiter(8192, 100)
	backlog := &backlogListener{waiting: 500}
	accepted := 0
	for {
		conn, err := (&admissionListener{Listener: backlog, connLimiter: limiter, admission: newAdmission(0, slog.New(slog.DiscardHandler)), rejecter: newRejecter(0)}).Accept()
		if err != nil {
			break
		}
		limiter.track(conn, http.StateNew)
		accepted++
		if accepted == 150 {
			// One connection ends, so another one is accepted.
			limiter.track(conn, http.StateClosed)
		}
	}
	if accepted != 151 || backlog.closed != 349 || limiter.open.Load() != 150 {
		t.Errorf("accepted %d, closed %d, open %d; want 151, 349 and 150", accepted, backlog.closed, limiter.open.Load())
	}
	if !limiter.overLimit() {
		t.Error("connections are kept open above the limit")
	}
	if limiter := newConnLimiter(100, 1000); limiter.limit != 40 {
		t.Errorf("limit is %d with 100 descriptors, want 40", limiter.limit)
	}
}

// Guards against an overloaded process that spends its processor time on refusing requests.
// With a scheduling lag of one second a VM refused 29 of 30 requests, at 1,000 requests per
// second, and served the remaining one late, which broke fairness between accounts.
func TestAnOverloadedProcessRejectsConnections(t *testing.T) {
	const waiting = 1000
	overloaded := newAdmission(0, slog.New(slog.DiscardHandler))
	backlog := &backlogListener{waiting: waiting}
	accepted := 0
	for {
		overloaded.observeLag(time.Second)
		if _, err := (&admissionListener{Listener: backlog, connLimiter: newConnLimiter(8192, waiting), admission: overloaded, rejecter: newRejecter(0)}).Accept(); err != nil {
			break
		}
		accepted++
	}
	if accepted == 0 || accepted > waiting/4 || accepted+backlog.closed != waiting {
		t.Errorf("accepted %d of %d connections and closed %d", accepted, waiting, backlog.closed)
	}
}

// Guards against two faults. Rejecting 5,500 connections per second through the runtime left a
// VM of 0.192 cores with a scheduling lag of 1.6 s, so that requests kept executing after their
// callers had left. And some callers treated a connection that was closed without a response as
// a failure (22,930 requests), so each must get a 503 response.
func TestRejectsTheBacklogWithoutTheRuntime(t *testing.T) {
	const waiting = 100
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	var callers []net.Conn
	for range waiting {
		caller, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer caller.Close()
		if _, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		callers = append(callers, caller)
	}
	overloaded := newAdmission(0, slog.New(slog.DiscardHandler))
	for range 100 {
		overloaded.observeLag(time.Second)
	}
	counting := &countingListener{Listener: listener}
	rejecter := newRejecter(0)
	go func() { _ = rejecter.Run(t.Context()) }()
	admitting := &admissionListener{Listener: counting, connLimiter: newConnLimiter(8192, waiting), admission: overloaded, rejecter: rejecter}
	accepted := 0
	for accepted+int(overloaded.rejectedConnections()) < waiting {
		conn, err := admitting.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		accepted++
	}
	if accepted == 0 || accepted > waiting/10 || counting.calls > 2*accepted+1 {
		t.Errorf("accepted %d of %d connections with %d calls of the runtime's Accept", accepted, waiting, counting.calls)
	}
	refused := 0
	for _, caller := range callers {
		_ = caller.SetReadDeadline(time.Now().Add(time.Second))
		answer, err := http.ReadResponse(bufio.NewReader(caller), nil)
		if err != nil {
			// The connection was accepted, and no server handles it in this test.
			continue
		}
		if _, err := io.ReadAll(answer.Body); err == nil && answer.StatusCode == http.StatusServiceUnavailable {
			refused++
		}
	}
	if refused != waiting-accepted {
		t.Errorf("%d callers got the 503 response, want %d", refused, waiting-accepted)
	}
}

// countingListener counts the calls of the runtime's Accept.
type countingListener struct {
	net.Listener
	calls int
}

func (l *countingListener) Accept() (net.Conn, error) {
	l.calls++
	return l.Listener.Accept()
}

func (l *countingListener) SyscallConn() (syscall.RawConn, error) {
	return l.Listener.(syscall.Conn).SyscallConn()
}

// Guards against connections that an overloaded process turns away and that count in no account's demand,
// or in the demand of several.
func TestTurnedAwayConnectionsAreTakenOnce(t *testing.T) {
	overloaded := newAdmission(0, slog.New(slog.DiscardHandler))
	for range 100 {
		overloaded.observeLag(time.Second)
	}
	want := 0
	for range 50 {
		if !overloaded.admitConnection(nil) {
			want++
		}
	}
	if want == 0 {
		t.Fatal("an overloaded process admits everything")
	}
	if got := overloaded.takeTurnedAway(1); got != want {
		t.Errorf("%d were turned away, want %d", got, want)
	}
	if again := overloaded.takeTurnedAway(1); again != 0 {
		t.Errorf("%d were turned away since, want 0", again)
	}
}

// Guards against connections of one account that are turned away and count in the demand of another.
func TestTurnedAwayConnectionsCountForTheirAccounts(t *testing.T) {
	overloaded := newAdmission(0, slog.New(slog.DiscardHandler))
	overloaded.accountOf = func(head []byte) (version.AccountID, bool) { return version.AccountID(head[0]), head[0] > 0 }
	for range 100 {
		overloaded.observeLag(time.Second)
	}
	want := make(map[byte]int)
	for i := range 1000 {
		// The account 0 is unknown.
		account := byte(i % 3)
		if !overloaded.admitConnection([]byte{account}) {
			want[account]++
		}
	}
	first := overloaded.takeTurnedAway(1)
	second := overloaded.takeTurnedAway(2)
	if first != want[1]+want[0] || second != want[2] {
		t.Errorf("%d and %d were turned away, want %d with those of unknown accounts and %d", first, second, want[1]+want[0], want[2])
	}
}

// Guards against connections that are turned away at the limit of open ones and count in the demand of whoever comes
// next.
func TestConnectionsBeyondTheLimitCountForTheirAccounts(t *testing.T) {
	const waiting = 60
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	full := newAdmission(0, slog.New(slog.DiscardHandler))
	full.accountOf = func(head []byte) (version.AccountID, bool) {
		return version.AccountID(len(platform.KeyOfHead(head))), true
	}
	limiter := newConnLimiter(8192, 1)
	for range 2 {
		limiter.track(nil, http.StateNew)
	}
	rejecter := newRejecter(waiting)
	go func() { _ = rejecter.Run(t.Context()) }()
	want := make(map[int]int)
	for i := range waiting {
		key := strings.Repeat("k", 1+i%3)
		want[len(key)]++
		caller, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer caller.Close()
		fmt.Fprintf(caller, "GET / HTTP/1.1\r\nHost: h\r\n%s: %s\r\n\r\n", platformtest.HeaderKey, key)
	}
	if tcp := listener.(*net.TCPListener); tcp.SetDeadline(time.Now().Add(300*time.Millisecond)) != nil {
		t.Fatal("no deadline of the listener")
	}
	rejecting := &admissionListener{Listener: listener, connLimiter: limiter, admission: full, rejecter: rejecter}
	if conn, err := rejecting.Accept(); err == nil {
		t.Errorf("a connection from %v is accepted", conn.RemoteAddr())
	}
	for length, count := range want {
		if got := full.takeTurnedAway(version.AccountID(length)); got != count {
			t.Errorf("%d were turned away of account %d, want %d", got, length, count)
		}
	}
}

// Guards against an account that sends few requests over new connections to a process which another account
// floods: whoever came was turned away unread.
func TestNewConnectionsOfAccountsThatSendFewAreAdmitted(t *testing.T) {
	const waiting, perRound, flood, few = 1200, 120, version.AccountID(1), version.AccountID(2)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	overloaded := newAdmission(0, slog.New(slog.DiscardHandler))
	overloaded.accountOf = func(head []byte) (version.AccountID, bool) {
		return map[string]version.AccountID{"flood": flood, "few": few}[string(platform.KeyOfHead(head))], true
	}
	overloaded.ahead = func(account version.AccountID) bool { return account == flood }
	rejecter := newRejecter(waiting)
	go func() { _ = rejecter.Run(t.Context()) }()
	admitting := &admissionListener{Listener: listener, connLimiter: newConnLimiter(8192, waiting), admission: overloaded, rejecter: rejecter}
	sent, admitted, done := make(map[string]int), make(map[string]int), 0
	for done < waiting {
		for range 100 {
			overloaded.observeLag(time.Second)
		}
		// The backlog of the listener holds what came since.
		for i := range perRound {
			key := "flood"
			if i == 47 {
				key = "few"
			}
			sent[key]++
			caller, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer caller.Close()
			fmt.Fprintf(caller, "GET /%s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n\r\n", key, platformtest.HeaderKey, key)
		}
		done += perRound
		for accepted := 0; ; accepted++ {
			if tcp := listener.(*net.TCPListener); tcp.SetDeadline(time.Now().Add(100*time.Millisecond)) != nil {
				t.Fatal("no deadline of the listener")
			}
			conn, err := admitting.Accept()
			if err != nil {
				break
			}
			request, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				t.Fatalf("an admitted connection lacks its request: %v", err)
			}
			admitted[request.URL.Path[1:]]++
			overloaded.admitRequest(map[string]version.AccountID{"flood": flood, "few": few}[request.URL.Path[1:]], true)
			defer conn.Close()
		}
	}
	if admitted["few"]*10 < sent["few"]*9 || admitted["flood"] > sent["flood"]/5 {
		t.Errorf("%v of %v connections are admitted, want nine of ten of the few and a fifth of the flood at most", admitted, sent)
	}
}

// Guards against an overloaded process that sheds the requests of all accounts alike.
func TestFurtherRequestsOfAccountsThatSendFewAreAdmitted(t *testing.T) {
	const flood, few = version.AccountID(1), version.AccountID(2)
	overloaded := newAdmission(0, slog.New(slog.DiscardHandler))
	for range 100 {
		overloaded.observeLag(time.Second)
	}
	refused := make(map[version.AccountID]int)
	for i := range 1000 {
		// One in ten requests is the first one of its connection.
		overloaded.admitRequest(flood, i%10 == 0)
		if !overloaded.admitRequest(flood, false) {
			refused[flood]++
		}
		if i%50 == 0 && !overloaded.admitRequest(few, false) {
			refused[few]++
		}
	}
	if refused[few] > 1 || refused[flood] < 900 {
		t.Errorf("%d of 20 requests of the account that sends few and %d of 1,000 of the flood are refused", refused[few], refused[flood])
	}
}

// Guards against an overloaded process whose processor goes into requests that are refused because their account
// is ahead of its share.
func TestFurtherRequestsOfAccountsAheadAreShedFirst(t *testing.T) {
	const ahead, behind = version.AccountID(1), version.AccountID(2)
	overloaded := newAdmission(0, slog.New(slog.DiscardHandler))
	overloaded.ahead = func(account version.AccountID) bool { return account == ahead }
	admitted := make(map[version.AccountID]int)
	for range 3000 {
		for _, account := range []version.AccountID{ahead, behind} {
			// The lag keeps the admitted fraction about a half.
			lag := time.Duration(0)
			if overloaded.admittedFraction() > 0.5 {
				lag = time.Second
			}
			overloaded.observeLag(lag)
			if overloaded.admitRequest(account, false) {
				admitted[account]++
			}
		}
	}
	if admitted[ahead]*10 > admitted[behind]*8 {
		t.Errorf("%d requests of the account ahead and %d of the one behind are admitted", admitted[ahead], admitted[behind])
	}
}
