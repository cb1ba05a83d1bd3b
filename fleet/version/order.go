package version

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"
)

// Target says what kind of thing an order takes out of service or back.
type Target string

const (
	// TargetDataCentre is a whole data centre.
	TargetDataCentre Target = "datacentre"
	// TargetVM is one VM.
	TargetVM Target = "vm"
	// TargetUpstream is one upstream.
	TargetUpstream Target = "upstream"
)

// MaxAbsorbed bounds Head.Absorbed.
const MaxAbsorbed = 64

// Order takes something out of service or back. An order that was handed to a
// daemon is in force over the platform's head until a later head has absorbed
// it.
type Order struct {
	// Operation identifies the order; it is never reused.
	Operation string `json:"operation"`
	// Millis is when the order was given, in milliseconds since the Unix
	// epoch. Of two orders on one target the later one holds.
	Millis int64  `json:"ms"`
	Target Target `json:"target"`
	Name   string `json:"name"`
	// Out takes out of service; otherwise the order brings back.
	Out bool `json:"out"`
}

// Check reports why an order cannot be accepted.
func (o Order) Check() error {
	if o.Operation == "" || len(o.Operation) > maxNameBytes {
		return errors.Wrap(ErrInvalid, "order: the operation is empty or too long")
	}
	switch o.Target {
	case TargetDataCentre, TargetVM, TargetUpstream:
	default:
		return errors.Wrapf(ErrInvalid, "order: unknown target %q", o.Target)
	}
	if problem := nameProblem(o.Name); problem != "" {
		return errors.Wrapf(ErrInvalid, "order: the name %q %s", o.Name, problem)
	}
	return nil
}

// SortOrders puts orders in the sequence in which they are applied.
func SortOrders(orders []Order) {
	slices.SortFunc(orders, Order.compare)
}

// compare orders by the time at which they were given.
func (o Order) compare(other Order) int {
	return cmp.Or(cmp.Compare(o.Millis, other.Millis), cmp.Compare(o.Operation, other.Operation))
}

// Apply returns the names with an order applied, sorted and without
// duplicates.
func (n OutNames) Apply(order Order) OutNames {
	switch order.Target {
	case TargetDataCentre:
		n.DataCentres = withName(n.DataCentres, order.Name, order.Out)
	case TargetVM:
		n.VMs = withName(n.VMs, order.Name, order.Out)
	case TargetUpstream:
		n.Upstreams = withName(n.Upstreams, order.Name, order.Out)
	}
	return n
}

// withName returns a sorted copy of names with name present or absent.
func withName(names []string, name string, present bool) []string {
	changed := slices.DeleteFunc(slices.Clone(names), func(other string) bool { return other == name })
	if present {
		changed = append(changed, name)
	}
	slices.Sort(changed)
	return slices.Compact(changed)
}

// HasAbsorbed reports whether a head includes an order.
func (h Head) HasAbsorbed(order Order) bool {
	return slices.ContainsFunc(h.Absorbed, func(other Order) bool { return other.Operation == order.Operation })
}

// supersedes reports whether a head includes a later order on the same thing.
func (h Head) supersedes(order Order) bool {
	return slices.ContainsFunc(h.Absorbed, func(other Order) bool {
		return other.Target == order.Target && other.Name == order.Name && other.compare(order) > 0
	})
}

// Under returns the head as it is in force under orders that it has not
// absorbed. Its number grows by one for each of them.
func (h Head) Under(orders []Order) Head {
	pending := h.Pending(orders)
	for _, order := range pending {
		if !h.supersedes(order) {
			h.Out = h.Out.Apply(order)
		}
	}
	h.Number += Number(len(pending))
	return h
}

// Pending returns the orders that the head has not absorbed, in the sequence
// in which they are applied.
func (h Head) Pending(orders []Order) []Order {
	pending := slices.DeleteFunc(slices.Clone(orders), h.HasAbsorbed)
	SortOrders(pending)
	return pending
}

// Absorb returns the head that confirms orders. Its number is above that of
// Under for the same orders, so that whatever a daemon held before, what it
// holds after has a higher number.
func (h Head) Absorb(orders []Order) Head {
	absorbed := append(slices.Clone(h.Absorbed), h.Pending(orders)...)
	next := h.Under(orders)
	next.Number++
	next.Absorbed = absorbed[max(0, len(absorbed)-MaxAbsorbed):]
	return next
}
