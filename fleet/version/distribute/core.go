// Package distribute distributes the configuration to every daemon of the fleet.
//
// A few daemons of each data centre, the watchers, read the platform. The other
// daemons fetch heads and parts from peers, the daemons that they are linked to.
// A daemon that has applied a new head announces it to a few random peers. These
// fetch the head and the parts that they lack, and announce it in turn. Slow
// periodic announcements reach the peers that the first announcements missed.
//
// A Core does no I/O and reads no clock. Its caller passes events and the time to
// Step and Tick, and carries out the actions that Ready returns.
package distribute

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// TickInterval is the time between calls of Tick.
	TickInterval = 200 * time.Millisecond
	// watchersPerDataCentre is the number of daemons of a data centre that read
	// the platform.
	watchersPerDataCentre = 2
	// startGrace is how long a daemon without a head waits for its peers before
	// it reads the platform, so that replaced VMs cause no platform calls.
	startGrace = time.Second
	// contactTimeout is the time without a known answer of the platform to any
	// daemon after which further daemons take turns at reading it.
	contactTimeout = 30 * time.Second
	// watchTurn is how long each turn of further daemons takes.
	watchTurn = 10 * time.Second
	// announceFanout is the number of peers to which a new head or order is
	// announced immediately.
	announceFanout = 4
	// announceInterval is the time between periodic announcements while a peer
	// may be behind; idleAnnounceInterval while no peer is known to be behind.
	announceInterval     = time.Second
	idleAnnounceInterval = 2 * time.Second
	// fetchTimeout is how long a peer may take for each response of a fetch.
	fetchTimeout = time.Second
	// maxEarlierHeads is the number of earlier heads that are kept as
	// dictionaries to compress new heads.
	maxEarlierHeads = 8
	// MaxOrders is the maximum number of orders that are applied on top of a
	// head.
	MaxOrders = 256
)

var (
	// ErrNoHead is returned by ApplyOrder while the daemon has no head.
	ErrNoHead = errors.New("no configuration head known")
	// ErrTooManyOrders is returned by ApplyOrder once MaxOrders orders are
	// pending.
	ErrTooManyOrders = errors.New("too many orders wait for the platform")
)

// Options are the options of New.
type Options struct {
	VM         version.VMID
	DataCentre version.DataCentreID
	// Seed seeds the random choice of peers, together with VM.
	Seed uint64
}

// Core is the state of the configuration at one daemon. It is not safe for
// concurrent use.
type Core struct {
	options Options
	random  *rand.Rand
	peers   map[version.VMID]*peer

	// current is the newest head that was applied, with all its parts; nil if
	// there is none. Its number never falls.
	current *snapshot
	// earlierHeads are up to maxEarlierHeads heads before current, the latest
	// last.
	earlierHeads []encodedHead
	// orders are the sorted orders that current has not absorbed. They are
	// applied on top of it.
	orders []version.Order
	// config is the active configuration: current with orders applied. Its
	// number never falls.
	config *version.Config
	// rejectedNumber is the highest number of a head that could not be applied.
	rejectedNumber version.Number

	// fetch is the fetch in progress; nil if there is none.
	fetch *fetch
	// partial is a head whose fetch was broken off, with the parts that were
	// received, so that they need not be fetched again; nil if there is none.
	partial *snapshot
	// lastContact is the latest time at which the platform is known to have
	// answered any daemon; zero if unknown.
	lastContact time.Time
	started     time.Time
	watching    bool
	// nextAnnounce is when the next periodic announcement is due.
	nextAnnounce time.Time
	actions      []Action
}

// peer is the state of a linked daemon.
type peer struct {
	dataCentre version.DataCentreID
	leaving    bool
	// headNumber and ordersHash are the number of its head and the hash of its
	// orders that it announced last; 0 if unknown.
	headNumber version.Number
	ordersHash uint64
}

// New returns a core without a head and without peers.
func New(now time.Time, options Options) *Core {
	return &Core{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, xxhash.Sum64String(string(options.VM)))),
		peers:   make(map[version.VMID]*peer),
		started: now,
	}
}

// Step handles one event.
func (c *Core) Step(now time.Time, event Event) {
	event.apply(c, now)
}

// Tick handles timeouts and periodic announcements. It must be called every
// TickInterval.
func (c *Core) Tick(now time.Time) {
	c.expireFetch(now)
	c.updateWatching(now)
	if now.Before(c.nextAnnounce) {
		return
	}
	c.nextAnnounce = now.Add(c.announceToOne(now))
}

// Ready returns the actions that the caller must carry out, in order, and removes
// them from the Core.
func (c *Core) Ready() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}

// Watching reports whether this daemon must read the platform.
func (c *Core) Watching() bool { return c.watching }

// HeadNumber returns the number of the current head, without pending orders; 0 if
// there is none.
func (c *Core) HeadNumber() version.Number {
	if c.current == nil {
		return 0
	}
	return c.current.head.Number
}

// Head returns the current head as the platform stores it, and its parts by digest; nil if there
// is no head. The caller must not modify them.
func (c *Core) Head() (encoded []byte, parts map[string][]byte) {
	if c.current == nil {
		return nil, nil
	}
	return c.current.encoded.bytes, maps.Clone(c.current.parts)
}

// Orders returns the orders that the current head has not absorbed.
func (c *Core) Orders() []version.Order { return slices.Clone(c.orders) }

// PeerHeadNumber returns the number of the head that a linked daemon last announced; 0 if
// unknown.
func (c *Core) PeerHeadNumber(vm version.VMID) version.Number {
	if p, present := c.peers[vm]; present {
		return p.headNumber
	}
	return 0
}

// Part returns the data of a part of the current head and whether the head has the
// part.
func (c *Core) Part(digest string) ([]byte, bool) {
	if c.current == nil {
		return nil, false
	}
	data, present := c.current.parts[digest]
	return data, present
}

// ApplyOrder applies an operator's order on top of the current head and announces
// it to peers. It returns the number of the active configuration. An order that is
// known already changes nothing. The error is ErrNoHead, ErrTooManyOrders, or an
// error marked version.ErrInvalid if the order is invalid or takes an unknown data
// centre or upstream out of service.
func (c *Core) ApplyOrder(now time.Time, order version.Order) (version.Number, error) {
	if c.current == nil {
		return 0, ErrNoHead
	}
	if err := c.checkOrder(order); err != nil {
		return 0, err
	}
	c.addOrders(now, []version.Order{order})
	return c.config.Number, nil
}

// checkOrder returns the error of ApplyOrder for an order that cannot be applied.
func (c *Core) checkOrder(order version.Order) error {
	if err := order.Check(); err != nil {
		return err
	}
	if len(c.orders) >= MaxOrders {
		return ErrTooManyOrders
	}
	exists := true
	switch order.Target {
	case version.TargetDataCentre:
		_, exists = c.config.DataCentres[version.DataCentreID(order.Name)]
	case version.TargetUpstream:
		_, exists = c.config.Upstreams[version.NewUpstreamID(order.Name)]
	}
	if !exists && order.Out {
		return errors.Wrapf(version.ErrInvalid, "order: the %s %q is not described", order.Target, order.Name)
	}
	return nil
}

// addOrders adds the valid orders that are not known yet, up to MaxOrders. It
// applies and announces them, or keeps them until the first head arrives.
func (c *Core) addOrders(now time.Time, orders []version.Order) {
	added := false
	for _, order := range orders {
		if c.knowsOrder(order) || len(c.orders) >= MaxOrders || order.Check() != nil {
			continue
		}
		c.orders = append(c.orders, order)
		added = true
	}
	if !added {
		return
	}
	version.SortOrders(c.orders)
	if c.current != nil {
		c.applyOrders()
		c.announceToSome(now)
	}
}

// knowsOrder reports whether the current head includes the order, or the order is
// pending.
func (c *Core) knowsOrder(order version.Order) bool {
	if c.current != nil && c.current.head.HasAbsorbed(order) {
		return true
	}
	return slices.ContainsFunc(c.orders, func(other version.Order) bool {
		return other.Operation == order.Operation
	})
}

// ordersHash returns a hash of sorted orders; 0 if there are none.
func ordersHash(orders []version.Order) uint64 {
	if len(orders) == 0 {
		return 0
	}
	digest := xxhash.New()
	for _, order := range orders {
		// Writing to a Digest never fails.
		_, _ = digest.WriteString(order.Operation + "\x00")
	}
	return max(digest.Sum64(), 1)
}

// addAction adds an action for Ready to return.
func (c *Core) addAction(action Action) { c.actions = append(c.actions, action) }

func (c *Core) send(to version.VMID, message wire.Message) {
	c.addAction(Send{To: to, Message: message})
}
