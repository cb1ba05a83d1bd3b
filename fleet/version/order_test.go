package version

import (
	"reflect"
	"testing"
)

// TestAbsorbedOrdersKeepTheirEffectAndRaiseTheNumber guards against a daemon that
// ignores a head which absorbed its orders because of a lower number, and against
// a head that reverts an order which it absorbed.
func TestAbsorbedOrdersKeepTheirEffectAndRaiseTheNumber(t *testing.T) {
	out := Order{Operation: "a", Millis: 2, Target: TargetDataCentre, Name: "north", Out: true}
	back := Order{Operation: "b", Millis: 3, Target: TargetDataCentre, Name: "north"}
	vm := Order{Operation: "c", Millis: 1, Target: TargetVM, Name: "vm-1", Out: true}
	head := Head{Number: 5, Out: OutOfServiceNames{DataCentres: []string{"south"}}}

	withOrders := head.WithOrders([]Order{out, vm})
	if withOrders.Number != 7 || !reflect.DeepEqual(withOrders.Out, OutOfServiceNames{DataCentres: []string{"north", "south"}, VMs: []string{"vm-1"}}) {
		t.Errorf("head with two orders applied: got %+v, want number 7 with north, south and vm-1 out", withOrders)
	}
	absorbed := head.Absorb([]Order{out, vm})
	if absorbed.Number <= withOrders.Number || !reflect.DeepEqual(absorbed.Out, withOrders.Out) {
		t.Errorf("head that absorbed the orders: got %+v, want the same out-of-service names and a higher number than %+v", absorbed, withOrders)
	}
	if again := absorbed.WithOrders([]Order{vm, out}); again.Number != absorbed.Number {
		t.Errorf("absorbed orders are counted again: %+v", again)
	}
	// The sequence in which orders arrive does not matter.
	if got := absorbed.WithOrders([]Order{back}); len(got.Out.DataCentres) != 1 || got.Number != absorbed.Number+1 {
		t.Errorf("north returned to service after it was taken out: got %+v, want only south out and a number higher by one", got)
	}
	if a, b := head.WithOrders([]Order{back, out}), head.WithOrders([]Order{out, back}); !reflect.DeepEqual(a, b) {
		t.Errorf("the result depends on the sequence of orders: %+v and %+v", a, b)
	}
	if !reflect.DeepEqual(head.Out, OutOfServiceNames{DataCentres: []string{"south"}}) {
		t.Errorf("WithOrders or Absorb changed the original head: %+v", head)
	}
}

// TestTheLaterOfTwoOrdersWinsInAnyAbsorptionSequence guards against an earlier
// order that overrides a later one because the head absorbs it later.
func TestTheLaterOfTwoOrdersWinsInAnyAbsorptionSequence(t *testing.T) {
	earlier := Order{Operation: "a", Millis: 1, Target: TargetDataCentre, Name: "north"}
	later := Order{Operation: "b", Millis: 2, Target: TargetDataCentre, Name: "north", Out: true}
	head := Head{Number: 5}
	initialNumber := head.WithOrders([]Order{earlier, later}).Number
	for _, batches := range [][][]Order{{{earlier, later}}, {{earlier}, {later}}, {{later}, {earlier}}} {
		absorbed := head
		for _, batch := range batches {
			previousNumber := absorbed.WithOrders([]Order{earlier, later}).Number
			absorbed = absorbed.Absorb(batch)
			withOrders := absorbed.WithOrders([]Order{earlier, later})
			if withOrders.Number <= previousNumber {
				t.Errorf("absorbed in batches %v: number %d, want more than the previous %d", batches, withOrders.Number, previousNumber)
			}
			if !reflect.DeepEqual(withOrders.Out.DataCentres, []string{"north"}) {
				t.Errorf("absorbed in batches %v: data centres out of service %v, want north", batches, withOrders.Out.DataCentres)
			}
		}
		if absorbed.Number <= initialNumber {
			t.Errorf("absorbed in batches %v: number %d, want more than the initial %d", batches, absorbed.Number, initialNumber)
		}
	}
}

func TestOrderCheck(t *testing.T) {
	good := Order{Operation: "a", Target: TargetVM, Name: "vm-1"}
	if err := good.Check(); err != nil {
		t.Error(err)
	}
	for _, bad := range []Order{
		{Target: TargetVM, Name: "vm-1"},
		{Operation: "a", Target: "rack", Name: "vm-1"},
		{Operation: "a", Target: TargetVM},
		{Operation: "a", Target: TargetVM, Name: "vm 1"},
	} {
		if bad.Check() == nil {
			t.Errorf("the invalid order %+v was accepted", bad)
		}
	}
}
