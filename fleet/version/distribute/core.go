// Package distribute decides how a configuration reaches every daemon: who
// reads the platform, who asks whom for what, and what is put in force.
//
// A few daemons of each data centre watch the platform. The others get heads
// and parts from the daemons that they are linked to: a daemon that has put a
// new head in force announces it to a few peers at random, which fetch what
// they lack and announce it in turn; a slow periodic announcement reaches those
// that were missed.
//
// A Core does no I/O and reads no clock. Its caller feeds it events and the
// time with Step and Tick, and carries out what Ready returns.
package distribute

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// TickInterval is how often Tick is called.
	TickInterval = 200 * time.Millisecond
	// watchersPerDataCentre is how many daemons of a data centre watch the
	// platform.
	watchersPerDataCentre = 2
	// startGrace is how long a daemon that holds nothing waits for peers before
	// it turns to the platform, so that replacing VMs costs no platform calls.
	startGrace = time.Second
	// staleAfter is how long nobody may have heard of the platform before
	// other daemons try it in turn.
	staleAfter = 30 * time.Second
	// turn is how long each of them tries.
	turn = 10 * time.Second
	// fanout is how many peers a new head is announced to at once.
	fanout = 4
	// announceInterval is how often one more peer that may be behind is told;
	// idleInterval if none is known to be behind.
	announceInterval = time.Second
	idleInterval     = 2 * time.Second
	// fetchTimeout is how long a peer may take for each answer.
	fetchTimeout = time.Second
	// keptHeads is how many earlier heads are kept to compress new ones
	// against.
	keptHeads = 8
	// MaxOrders bounds the orders in force over a head.
	MaxOrders = 256
)

var (
	// ErrNoHead is returned for an order while no head is known.
	ErrNoHead = errors.New("no configuration head known")
	// ErrTooManyOrders is returned for an order over MaxOrders.
	ErrTooManyOrders = errors.New("too many orders wait for the platform")
)

// Options set up a Core.
type Options struct {
	VM         version.VMID
	DataCentre version.DataCentreID
	// Seed feeds the random choices.
	Seed uint64
}

// Core is the configuration of one daemon. It is not safe for concurrent use.
type Core struct {
	options Options
	random  *rand.Rand
	peers   map[version.VMID]*peer

	// held is the newest complete head; its number never falls.
	held *snapshot
	// earlier are the encoded heads before held, the latest last.
	earlier []encodedHead
	// orders are in force over held, sorted, and none of them is absorbed by
	// it.
	orders []version.Order
	// config is what is in force: held under orders. Its number never falls.
	config *version.Config
	// refused is the number of the newest head that could not be put in force.
	refused version.Number

	fetch *fetch
	// spare is a head whose fetch was ended early; its parts need not be
	// fetched again.
	spare *snapshot
	// contact is when the platform is known to have last answered any daemon.
	contact  time.Time
	started  time.Time
	watching bool
	// nextAnnounce is when the next periodic announcement is due.
	nextAnnounce time.Time
	actions      []Action
}

// peer is what is known of a linked daemon.
type peer struct {
	dataCentre version.DataCentreID
	leaving    bool
	// number and orders are what it announced last.
	number version.Number
	orders uint64
}

// New returns a core that holds nothing and is linked to nobody.
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

// Tick advances time. It is called every TickInterval.
func (c *Core) Tick(now time.Time) {
	c.expireFetch(now)
	c.updateWatching(now)
	if now.Before(c.nextAnnounce) {
		return
	}
	c.nextAnnounce = now.Add(c.announceToOne(now))
}

// Ready takes out the actions to carry out, in order.
func (c *Core) Ready() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}

// Watching reports whether this daemon is to read the platform itself.
func (c *Core) Watching() bool { return c.watching }

// Confirmed returns the number of the head that is held; 0 is none.
func (c *Core) Confirmed() version.Number {
	if c.held == nil {
		return 0
	}
	return c.held.head.Number
}

// Orders returns the orders in force over the head.
func (c *Core) Orders() []version.Order { return slices.Clone(c.orders) }

// Peer returns the number that a linked daemon last announced.
func (c *Core) Peer(vm version.VMID) version.Number {
	if p, present := c.peers[vm]; present {
		return p.number
	}
	return 0
}

// Part returns a part of the head that is held.
func (c *Core) Part(digest string) ([]byte, bool) {
	if c.held == nil {
		return nil, false
	}
	data, present := c.held.parts[digest]
	return data, present
}

// GiveOrder puts an operator's order in force over the head and passes it on.
// It returns the number in force. An order that is known already changes
// nothing.
func (c *Core) GiveOrder(now time.Time, order version.Order) (version.Number, error) {
	if c.held == nil {
		return 0, ErrNoHead
	}
	if err := c.checkOrder(order); err != nil {
		return 0, err
	}
	c.addOrders(now, []version.Order{order})
	return c.config.Number, nil
}

func (c *Core) checkOrder(order version.Order) error {
	if err := order.Check(); err != nil {
		return err
	}
	if len(c.orders) >= MaxOrders {
		return ErrTooManyOrders
	}
	known := true
	switch order.Target {
	case version.TargetDataCentre:
		_, known = c.config.DataCentres[version.DataCentreID(order.Name)]
	case version.TargetUpstream:
		_, known = c.config.Upstreams[version.NewUpstreamID(order.Name)]
	}
	if !known && order.Out {
		return errors.Wrapf(version.ErrInvalid, "order: the %s %q is not described", order.Target, order.Name)
	}
	return nil
}

// addOrders puts orders that are new here in force, or keeps them for the first
// head.
func (c *Core) addOrders(now time.Time, orders []version.Order) {
	added := false
	for _, order := range orders {
		if c.knows(order) || len(c.orders) >= MaxOrders || order.Check() != nil {
			continue
		}
		c.orders = append(c.orders, order)
		added = true
	}
	if !added {
		return
	}
	version.SortOrders(c.orders)
	if c.held != nil {
		c.enforce()
		c.rumour(now)
	}
}

func (c *Core) knows(order version.Order) bool {
	if c.held != nil && c.held.head.HasAbsorbed(order) {
		return true
	}
	return slices.ContainsFunc(c.orders, func(other version.Order) bool {
		return other.Operation == order.Operation
	})
}

// ordersHash identifies a sorted set of orders; 0 is the empty set.
func ordersHash(orders []version.Order) uint64 {
	if len(orders) == 0 {
		return 0
	}
	digest := xxhash.New()
	for _, order := range orders {
		// A Digest never fails to write.
		_, _ = digest.WriteString(order.Operation + "\x00")
	}
	return max(digest.Sum64(), 1)
}

func (c *Core) act(action Action) { c.actions = append(c.actions, action) }

func (c *Core) send(to version.VMID, message wire.Message) {
	c.act(Send{To: to, Message: message})
}
