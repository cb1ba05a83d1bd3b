package occupancy

import "testing"

// vm simulates the requests that a VM holds of its accounts, by account and in order of arrival.
type vm struct {
	total, guaranteed int
	held              []int
	// refused counts the refused requests by account.
	refused []int
}

func (v *vm) offer(account int) {
	all := 0
	for _, held := range v.held {
		all += held
	}
	if all >= v.total || v.held[account] >= Limit(v.total, v.guaranteed, all-v.held[account]) {
		v.refused[account]++
		return
	}
	v.held[account]++
}

// step ends a fraction of the requests of each account, 1 of perHeld, and offers new ones.
func (v *vm) step(perHeld int, offered ...int) {
	for account := range v.held {
		v.held[account] -= (v.held[account] + perHeld - 1) / perHeld
	}
	for account, n := range offered {
		for range n {
			v.offer(account)
		}
	}
}

// Guards against an account that is refused at a VM which nobody else uses: all callers of one
// account reached a VM of 112 MB, which held 179 requests of 358 and refused two of three.
func TestAccountAloneUsesWhatOthersLeave(t *testing.T) {
	v := &vm{total: 358, guaranteed: 179, held: make([]int, 2), refused: make([]int, 2)}
	for range 50 {
		v.step(10, 60, 1)
	}
	if v.held[0] < 290 {
		t.Errorf("an account that is nearly alone holds %d requests of %d", v.held[0], v.total)
	}
	if v.refused[1] > 0 {
		t.Errorf("%d requests of the small account are refused", v.refused[1])
	}
}

// Guards against an account that keeps the room which it took while it was alone: another one that
// begins to send as much gets half of the VM as the first one's requests end.
func TestSecondAccountGetsItsPart(t *testing.T) {
	v := &vm{total: 358, guaranteed: 179, held: make([]int, 2), refused: make([]int, 2)}
	for range 50 {
		v.step(10, 60, 0)
	}
	v.step(10, 60, 40)
	if v.held[1] < 40 {
		t.Errorf("the account that comes second holds %d of its first 40 requests", v.held[1])
	}
	for range 50 {
		v.step(10, 60, 60)
	}
	if v.held[1] < 140 || v.held[0] < 140 {
		t.Errorf("two accounts with equal load hold %d and %d requests of %d", v.held[0], v.held[1], v.total)
	}
}
