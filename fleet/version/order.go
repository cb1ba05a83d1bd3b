package version

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"
)

// Target is the kind of object that an order takes out of service or returns to
// service.
type Target string

const (
	// TargetDataCentre is a whole data centre.
	TargetDataCentre Target = "datacentre"
	// TargetVM is one VM.
	TargetVM Target = "vm"
	// TargetUpstream is one upstream.
	TargetUpstream Target = "upstream"
)

// MaxAbsorbed is the maximum length of Head.Absorbed.
const MaxAbsorbed = 64

// Order is an operator's order to take a data centre, VM or upstream out of
// service or to return it to service. An operator may give an order to a daemon
// directly, bypassing the platform. Such an order is applied on top of the
// platform's head until a later head has absorbed it.
type Order struct {
	// Operation identifies the order; it is never reused.
	Operation string `json:"operation"`
	// Millis is the time at which the order was given, in milliseconds since
	// the Unix epoch. Of two orders on the same object the later order wins.
	Millis int64  `json:"ms"`
	Target Target `json:"target"`
	Name   string `json:"name"`
	// Out is set if the order takes the object out of service; otherwise the
	// order returns it to service.
	Out bool `json:"out"`
}

// Check returns an error marked ErrInvalid that says why the order is invalid, or
// nil. It does not check whether the named object exists.
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

// SortOrders sorts orders into the sequence in which they are applied.
func SortOrders(orders []Order) {
	slices.SortFunc(orders, Order.compare)
}

// compare compares two orders by the time at which they were given, then by
// operation.
func (o Order) compare(other Order) int {
	return cmp.Or(cmp.Compare(o.Millis, other.Millis), cmp.Compare(o.Operation, other.Operation))
}

// Apply returns the out-of-service names after an order. The names of the order's
// target kind are sorted and without duplicates.
func (n OutOfServiceNames) Apply(order Order) OutOfServiceNames {
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

// withName returns a sorted copy of names that contains name if present is set,
// and doesn't contain it otherwise.
func withName(names []string, name string, present bool) []string {
	changed := slices.DeleteFunc(slices.Clone(names), func(other string) bool { return other == name })
	if present {
		changed = append(changed, name)
	}
	slices.Sort(changed)
	return slices.Compact(changed)
}

// HasAbsorbed reports whether the head includes an order.
func (h Head) HasAbsorbed(order Order) bool {
	return slices.ContainsFunc(h.Absorbed, func(other Order) bool { return other.Operation == order.Operation })
}

// supersedes reports whether the head includes a later order on the same object.
func (h Head) supersedes(order Order) bool {
	return slices.ContainsFunc(h.Absorbed, func(other Order) bool {
		return other.Target == order.Target && other.Name == order.Name && other.compare(order) > 0
	})
}

// WithOrders returns the head with those of the orders applied that it has not
// absorbed. Each of them increases the number by one.
func (h Head) WithOrders(orders []Order) Head {
	pending := h.Pending(orders)
	for _, order := range pending {
		if !h.supersedes(order) {
			h.Out = h.Out.Apply(order)
		}
	}
	h.Number += Number(len(pending))
	return h
}

// Pending returns those of the orders that the head has not absorbed, in the
// sequence in which they are applied.
func (h Head) Pending(orders []Order) []Order {
	pending := slices.DeleteFunc(slices.Clone(orders), h.HasAbsorbed)
	SortOrders(pending)
	return pending
}

// Absorb returns the head that includes the orders. Its number is higher than the
// number of WithOrders for the same orders, so that the number rises at every daemon
// that applies it, whichever of these orders the daemon had applied before.
func (h Head) Absorb(orders []Order) Head {
	absorbed := append(slices.Clone(h.Absorbed), h.Pending(orders)...)
	next := h.WithOrders(orders)
	next.Number++
	next.Absorbed = absorbed[max(0, len(absorbed)-MaxAbsorbed):]
	return next
}
