// Package peer maintains one WebSocket link to each daemon that this daemon
// exchanges messages with, and sends and receives frames of messages on it.
//
// The caller decides which links to dial. If both ends of a pair dial, the link
// dialled by the end with the lower VM name is kept. When a link's queue is full
// or its connection fails, the whole link is dropped; the decision core then
// registers its state again, so no message is lost silently.
package peer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"

	"github.com/trefoilwell/trefoilwell/daemon/process/duty"
	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// Path is the URL path at which a daemon's peer listener accepts links.
	Path = "/peer"
	// maxQueuedMessages bounds the messages that wait to be written to one link.
	maxQueuedMessages = 8192
	// helloTimeout bounds the dialling of a link, and then the exchange of Hellos.
	helloTimeout = 3 * time.Second
	// writeTimeout bounds the writing of one frame.
	writeTimeout = 5 * time.Second
	// redialMin is the initial upper bound of the random pause before a link is
	// dialled again. The bound doubles with each redial up to redialMax.
	redialMin = 100 * time.Millisecond
	redialMax = 2 * time.Second
	// defaultPingInterval and defaultPingTimeout are used where Options give none.
	defaultPingInterval = 4 * time.Second
	defaultPingTimeout  = 3 * time.Second
)

// ErrUnauthorised is the answer to a link request without the fleet's secret.
var ErrUnauthorised = errors.New("peer link unauthorised")

// Handler receives the events and messages of links. Its methods are called from
// the links' goroutines.
type Handler interface {
	// LinkUp is called before the first Receive of a link, and after the
	// LinkDown of any earlier link to the same VM.
	LinkUp(hello wire.Hello)
	// Receive handles the messages of one frame, in the order they were sent.
	Receive(from wire.Hello, messages []wire.Message)
	// LinkDown is called after the last Receive of a link.
	LinkDown(hello wire.Hello)
}

// Options configures a Manager.
type Options struct {
	// Secret is the fleet's shared secret, which authenticates a link.
	Secret string
	// Scheme is the URL scheme for dialling, "ws" or "wss".
	Scheme string
	// HTTP is the client that dials links; default http.DefaultClient.
	HTTP    *http.Client
	Handler Handler
	// Hello returns this daemon's Hello, the first message on every link.
	Hello func() wire.Hello
	// PingInterval is the time between pings on an open link, default 4 s, and
	// PingTimeout the time limit for the answer, default 3 s.
	PingInterval time.Duration
	PingTimeout  time.Duration
	Log          *slog.Logger
}

// Manager owns the links. It is safe for concurrent use.
type Manager struct {
	options Options

	mu sync.Mutex
	// links holds the open link to each VM.
	links map[version.VMID]*link
	// dialled holds the function that stops dialling, for each VM that is to be
	// dialled.
	dialled map[version.VMID]context.CancelFunc

	traffic traffic
}

// New returns a Manager without links.
func New(options Options) *Manager {
	if options.PingInterval == 0 {
		options.PingInterval = defaultPingInterval
	}
	if options.PingTimeout == 0 {
		options.PingTimeout = defaultPingTimeout
	}
	return &Manager{
		options: options,
		links:   make(map[version.VMID]*link),
		dialled: make(map[version.VMID]context.CancelFunc),
	}
}

// Connect maintains a link to the VM at address, dialling again whenever there is
// none, until ctx ends or Disconnect is called. It returns at once.
func (m *Manager) Connect(ctx context.Context, vm version.VMID, address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, present := m.dialled[vm]; present {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	m.dialled[vm] = cancel
	go m.maintain(ctx, vm, address)
}

// Disconnect stops dialling a VM, and closes the link to it if this daemon dialled it.
func (m *Manager) Disconnect(vm version.VMID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if cancel, present := m.dialled[vm]; present {
		cancel()
		delete(m.dialled, vm)
	}
}

// Send queues a message for a VM. It returns false if the message cannot be sent: if
// there is no link to the VM, or if the link's queue is full, in which case the link is
// dropped.
func (m *Manager) Send(to version.VMID, message wire.Message) bool {
	m.mu.Lock()
	l, present := m.links[to]
	m.mu.Unlock()
	if !present {
		return false
	}
	select {
	case l.queue <- message:
		return true
	default:
		m.options.Log.Warn("peer queue full, dropping link", "peer", to)
		l.close()
		return false
	}
}

// ServeHTTP accepts a link and serves it until it ends.
func (m *Manager) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !m.authorised(r) {
		// A kept connection could carry requests without end.
		w.Header().Set("Connection", "close")
		http.Error(w, ErrUnauthorised.Error(), http.StatusUnauthorized)
		return
	}
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		m.options.Log.Warn("peer link not accepted", "error", err)
		return
	}
	m.serve(r.Context(), conn, false)
}

// authorised reports whether a request carries the fleet's secret. It compares
// digests in constant time, so that the time taken reveals nothing about the secret.
func (m *Manager) authorised(r *http.Request) bool {
	given := sha256.Sum256([]byte(r.Header.Get("Authorization")))
	expected := sha256.Sum256([]byte("Bearer " + m.options.Secret))
	return subtle.ConstantTimeCompare(given[:], expected[:]) == 1
}

// maintain dials a VM whenever there is no link to it, until ctx ends. The pause
// before each redial is random. Its bound doubles, and starts again at redialMin after a
// dial or link that took longer than redialMax.
func (m *Manager) maintain(ctx context.Context, vm version.VMID, address string) {
	maxPause := redialMin
	for ctx.Err() == nil {
		m.waitUntilUnlinked(ctx, vm)
		started := time.Now()
		if err := m.dial(ctx, address); err != nil {
			m.options.Log.Debug("peer not dialled", "address", address, "error", err)
		}
		if time.Since(started) > redialMax {
			maxPause = redialMin
		}
		select {
		case <-ctx.Done():
		case <-time.After(rand.N(maxPause)):
		}
		maxPause = min(2*maxPause, redialMax)
	}
}

// dial opens a link to the daemon at address and serves it until it ends.
func (m *Manager) dial(ctx context.Context, address string) error {
	dialContext, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	header := http.Header{}
	header.Set("Authorization", "Bearer "+m.options.Secret)
	target := m.options.Scheme + "://" + address + Path
	conn, _, err := websocket.Dial(dialContext, target, &websocket.DialOptions{
		HTTPClient: m.options.HTTP,
		HTTPHeader: header,
	})
	if err != nil {
		return errors.Wrap(err, "dial peer")
	}
	m.serve(ctx, conn, true)
	return nil
}

// waitUntilUnlinked waits until there is no link to a VM, or ctx ends.
func (m *Manager) waitUntilUnlinked(ctx context.Context, vm version.VMID) {
	for ctx.Err() == nil {
		m.mu.Lock()
		l, present := m.links[vm]
		m.mu.Unlock()
		if !present {
			return
		}
		select {
		case <-ctx.Done():
		case <-l.done:
		}
	}
}

// serve exchanges Hellos on conn and runs the link until it ends.
func (m *Manager) serve(ctx context.Context, conn *websocket.Conn, dialled bool) {
	defer conn.CloseNow()
	conn.SetReadLimit(wire.MaxFrameBytes)
	hello, err := m.exchangeHello(ctx, conn)
	if err != nil {
		m.options.Log.Warn("peer hello failed", "error", err)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := &link{
		conn:    conn,
		hello:   hello,
		dialled: dialled,
		queue:   make(chan wire.Message, maxQueuedMessages),
		close:   cancel,
		done:    make(chan struct{}),
		traffic: &m.traffic,
	}
	if !m.add(l) {
		return
	}
	defer m.remove(l)
	m.options.Handler.LinkUp(hello)
	defer m.options.Handler.LinkDown(hello)
	go l.write(ctx)
	go l.keepAlive(ctx, m.options.PingInterval, m.options.PingTimeout)
	// A panic caused by a received message ends the link, not the process.
	_ = duty.Run("link of "+string(hello.VM), m.options.Log, func() error {
		l.read(ctx, m.options.Handler)
		return nil
	})
}

// exchangeHello sends this daemon's Hello and returns the one of the other end.
func (m *Manager) exchangeHello(ctx context.Context, conn *websocket.Conn) (wire.Hello, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	if _, err := writeFrame(ctx, conn, []wire.Message{m.options.Hello()}); err != nil {
		return wire.Hello{}, err
	}
	messages, _, err := readFrame(ctx, conn)
	if err != nil {
		return wire.Hello{}, err
	}
	if len(messages) != 1 {
		return wire.Hello{}, errors.Wrap(wire.ErrMalformed, "greeting")
	}
	hello, ok := messages[0].(wire.Hello)
	if !ok {
		return wire.Hello{}, errors.Wrap(wire.ErrMalformed, "greeting")
	}
	return hello, nil
}

// add registers l as the link to its VM and reports whether it did; it does not if an
// existing link is kept. A link that l replaces ends before l is registered, so that the
// Handler gets its LinkDown before the LinkUp of l.
func (m *Manager) add(l *link) bool {
	for {
		m.mu.Lock()
		old, present := m.links[l.hello.VM]
		if !present {
			m.links[l.hello.VM] = l
			m.mu.Unlock()
			return true
		}
		m.mu.Unlock()
		if !m.replaces(l, old) {
			return false
		}
		old.close()
		<-old.done
	}
}

// replaces reports whether l replaces old: if the other process is a later
// incarnation, or, within one incarnation, if the same end dialled both or the end with
// the lower VM name dialled l. The link of an earlier incarnation never replaces old.
func (m *Manager) replaces(l, old *link) bool {
	if l.hello.Incarnation != old.hello.Incarnation {
		return l.hello.Incarnation > old.hello.Incarnation
	}
	ownNameLower := m.options.Hello().VM < l.hello.VM
	return l.dialled == old.dialled || l.dialled == ownNameLower
}

// remove unregisters a link, after its LinkDown.
func (m *Manager) remove(l *link) {
	m.mu.Lock()
	delete(m.links, l.hello.VM)
	m.mu.Unlock()
	close(l.done)
}
