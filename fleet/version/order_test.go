package version

import (
	"reflect"
	"testing"
)

func TestAbsorbingOrdersNeverLowersTheNumberNorRevertsThem(t *testing.T) {
	out := Order{Operation: "a", Millis: 2, Target: TargetDataCentre, Name: "north", Out: true}
	back := Order{Operation: "b", Millis: 3, Target: TargetDataCentre, Name: "north"}
	vm := Order{Operation: "c", Millis: 1, Target: TargetVM, Name: "vm-1", Out: true}
	head := Head{Number: 5, Out: OutNames{DataCentres: []string{"south"}}}

	under := head.Under([]Order{out, vm})
	if under.Number != 7 || !reflect.DeepEqual(under.Out, OutNames{DataCentres: []string{"north", "south"}, VMs: []string{"vm-1"}}) {
		t.Errorf("under two orders: %+v", under)
	}
	confirmed := head.Absorb([]Order{out, vm})
	if confirmed.Number <= under.Number || !reflect.DeepEqual(confirmed.Out, under.Out) {
		t.Errorf("absorbed: %+v, want what was in force: %+v", confirmed, under)
	}
	if again := confirmed.Under([]Order{vm, out}); again.Number != confirmed.Number {
		t.Errorf("absorbed orders count again: %+v", again)
	}
	// The sequence in which orders arrive does not matter.
	if got := confirmed.Under([]Order{back}); len(got.Out.DataCentres) != 1 || got.Number != confirmed.Number+1 {
		t.Errorf("back after out: %+v", got)
	}
	if a, b := head.Under([]Order{back, out}), head.Under([]Order{out, back}); !reflect.DeepEqual(a, b) {
		t.Errorf("orders do not commute: %+v and %+v", a, b)
	}
	if !reflect.DeepEqual(head.Out, OutNames{DataCentres: []string{"south"}}) {
		t.Errorf("the head changed: %+v", head)
	}
}

func TestALaterOrderHoldsHoweverOrdersAreAbsorbed(t *testing.T) {
	early := Order{Operation: "a", Millis: 1, Target: TargetDataCentre, Name: "north"}
	late := Order{Operation: "b", Millis: 2, Target: TargetDataCentre, Name: "north", Out: true}
	head := Head{Number: 5}
	number := head.Under([]Order{early, late}).Number
	for _, batches := range [][][]Order{{{early, late}}, {{early}, {late}}, {{late}, {early}}} {
		absorbed := head
		for _, batch := range batches {
			before := absorbed.Under([]Order{early, late}).Number
			absorbed = absorbed.Absorb(batch)
			held := absorbed.Under([]Order{early, late})
			if held.Number <= before {
				t.Errorf("%v: number %d after %d", batches, held.Number, before)
			}
			if !reflect.DeepEqual(held.Out.DataCentres, []string{"north"}) {
				t.Errorf("%v: out %v, want north", batches, held.Out.DataCentres)
			}
		}
		if absorbed.Number <= number {
			t.Errorf("%v: number %d after %d", batches, absorbed.Number, number)
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
			t.Errorf("%+v accepted", bad)
		}
	}
}
