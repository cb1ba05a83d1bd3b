// Package peer keeps one WebSocket link to each other daemon that this one
// talks to, and carries frames of messages over it.
//
// Who dials is decided by the caller. If both ends of a pair do, the link that
// the one with the lower VM name dialled stays. A full ring or a broken link
// drops the link as a whole; the decision core then registers its state anew,
// so nothing is lost silently.
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
	// Path is where a daemon's peer listener accepts links.
	Path = "/peer"
	// ringMessages bounds the messages that wait for one link.
	ringMessages = 8192
	// helloTimeout bounds the exchange of the first messages.
	helloTimeout = 3 * time.Second
	// writeTimeout bounds the writing of one frame.
	writeTimeout = 5 * time.Second
	// redialMin and redialMax bound the pause before a link is dialled again.
	redialMin = 100 * time.Millisecond
	redialMax = 2 * time.Second
	// aliveInterval and aliveTimeout are the defaults of Options.
	aliveInterval = 4 * time.Second
	aliveTimeout  = 3 * time.Second
)

// ErrUnauthorised is returned for a link without the fleet's secret.
var ErrUnauthorised = errors.New("peer link unauthorised")

// Handler is told what happens on links. Its methods are called from the
// links' goroutines.
type Handler interface {
	// LinkUp is called before the first Receive of a link, and after the
	// LinkDown of any earlier link to the same VM.
	LinkUp(hello wire.Hello)
	// Receive handles the messages of one frame.
	Receive(from wire.Hello, messages []wire.Message)
	// LinkDown is called after the last Receive of a link.
	LinkDown(hello wire.Hello)
}

// Options set up a Manager.
type Options struct {
	// Secret is the fleet's own secret, which both ends of a link must know.
	Secret string
	// Scheme is "ws" or "wss".
	Scheme string
	// HTTP dials the links; default http.DefaultClient.
	HTTP    *http.Client
	Handler Handler
	// Hello returns this daemon's first message.
	Hello func() wire.Hello
	// AliveInterval is how often an open link is tried, and AliveTimeout how
	// long the other end has to answer; default aliveInterval and aliveTimeout.
	AliveInterval time.Duration
	AliveTimeout  time.Duration
	Log           *slog.Logger
}

// Manager owns the links. It is safe for concurrent use.
type Manager struct {
	options Options

	mu      sync.Mutex
	links   map[version.VMID]*link
	dialled map[version.VMID]context.CancelFunc

	traffic traffic
}

// New returns a manager without links.
func New(options Options) *Manager {
	if options.AliveInterval == 0 {
		options.AliveInterval = aliveInterval
	}
	if options.AliveTimeout == 0 {
		options.AliveTimeout = aliveTimeout
	}
	return &Manager{
		options: options,
		links:   make(map[version.VMID]*link),
		dialled: make(map[version.VMID]context.CancelFunc),
	}
}

// Connect keeps a link to the VM at address open until ctx ends or Disconnect
// is called.
func (m *Manager) Connect(ctx context.Context, vm version.VMID, address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, present := m.dialled[vm]; present {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	m.dialled[vm] = cancel
	go m.keep(ctx, vm, address)
}

// Disconnect stops dialling a VM and ends a link that was dialled.
func (m *Manager) Disconnect(vm version.VMID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if cancel, present := m.dialled[vm]; present {
		cancel()
		delete(m.dialled, vm)
	}
}

// Send queues a message for a VM. It reports false if there is no link; the
// message is then not sent.
func (m *Manager) Send(to version.VMID, message wire.Message) bool {
	m.mu.Lock()
	l, present := m.links[to]
	m.mu.Unlock()
	if !present {
		return false
	}
	select {
	case l.ring <- message:
		return true
	default:
		m.options.Log.Warn("peer ring full, dropping link", "peer", to)
		l.close()
		return false
	}
}

// ServeHTTP accepts a link.
func (m *Manager) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !m.authorised(r) {
		http.Error(w, ErrUnauthorised.Error(), http.StatusUnauthorized)
		return
	}
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		m.options.Log.Warn("accept peer link", "error", err)
		return
	}
	m.serve(r.Context(), conn, false)
}

// authorised compares digests, so that the time taken tells nothing of the
// secret.
func (m *Manager) authorised(r *http.Request) bool {
	given := sha256.Sum256([]byte(r.Header.Get("Authorization")))
	wanted := sha256.Sum256([]byte("Bearer " + m.options.Secret))
	return subtle.ConstantTimeCompare(given[:], wanted[:]) == 1
}

// keep dials whenever there is no link.
func (m *Manager) keep(ctx context.Context, vm version.VMID, address string) {
	pause := redialMin
	for ctx.Err() == nil {
		m.waitForEnd(ctx, vm)
		started := time.Now()
		if err := m.dial(ctx, address); err != nil {
			m.options.Log.Debug("peer link", "address", address, "error", err)
		}
		if time.Since(started) > redialMax {
			pause = redialMin
		}
		select {
		case <-ctx.Done():
		case <-time.After(rand.N(pause)):
		}
		pause = min(2*pause, redialMax)
	}
}

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

// waitForEnd waits until there is no link to a VM.
func (m *Manager) waitForEnd(ctx context.Context, vm version.VMID) {
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

// serve runs a link until it ends.
func (m *Manager) serve(ctx context.Context, conn *websocket.Conn, dialled bool) {
	defer conn.CloseNow()
	conn.SetReadLimit(wire.MaxFrameBytes)
	hello, err := m.greet(ctx, conn)
	if err != nil {
		m.options.Log.Warn("peer greeting", "error", err)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := &link{
		conn:    conn,
		hello:   hello,
		dialled: dialled,
		ring:    make(chan wire.Message, ringMessages),
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
	go l.keepAlive(ctx, m.options.AliveInterval, m.options.AliveTimeout)
	// What one link brings must not end the process; the link ends with it.
	_ = duty.Try("link of "+string(hello.VM), m.options.Log, func() error {
		l.read(ctx, m.options.Handler)
		return nil
	})
}

// greet exchanges the first messages.
func (m *Manager) greet(ctx context.Context, conn *websocket.Conn) (wire.Hello, error) {
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

// add makes l the link to its VM and reports whether it is. A link that it
// replaces ends first, so that the Handler hears of their ends in order.
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

// replaces reports whether l takes the place of old: if the other process is a
// later one, if the same end dialled again, or if the lower VM dialled l.
func (m *Manager) replaces(l, old *link) bool {
	if l.hello.Incarnation != old.hello.Incarnation {
		return l.hello.Incarnation > old.hello.Incarnation
	}
	lowerDials := m.options.Hello().VM < l.hello.VM
	return l.dialled == old.dialled || l.dialled == lowerDials
}

// remove forgets a link after its LinkDown.
func (m *Manager) remove(l *link) {
	m.mu.Lock()
	delete(m.links, l.hello.VM)
	m.mu.Unlock()
	close(l.done)
}
