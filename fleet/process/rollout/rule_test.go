package rollout

import (
	"reflect"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
)

// Guards against questions that take from the budget of the canary, so that fewer requests reach it, and
// against a foreseen rule that is not the one that the next request gets.
func TestForeseenRulesTakeNothing(t *testing.T) {
	w := newWorld(t, 6, 6, 1)
	w.give()
	w.run(2 * time.Second)
	c := w.vms[1].Controller
	ticket, canaries := request.Ticket{Pool: testPool, Attempt: 1}, 0
	for n := range 2000 {
		before := *c.orders[testPool]
		foreseen := c.Foresee(w.now, ticket)
		c.Foresee(w.now, request.Ticket{Pool: testPool, Attempt: 2, Software: "v1"})
		if !reflect.DeepEqual(before, *c.orders[testPool]) {
			t.Fatalf("the question before request %d changes the order", n)
		}
		rule := c.Rule(w.now, ticket)
		if !reflect.DeepEqual(rule, foreseen) {
			t.Fatalf("request %d gets the rule %+v, foreseen was %+v", n, rule, foreseen)
		}
		if rule.Among != nil {
			canaries++
			c.orders[testPool].budget.reserved = nil
		}
	}
	if canaries == 0 || canaries == 2000 {
		t.Errorf("%d of 2000 requests go to the canary, want some", canaries)
	}
}
