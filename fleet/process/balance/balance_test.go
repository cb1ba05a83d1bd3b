package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// fleet is a number of VMs that choose among upstreams that do the same work, each by what it has in
// flight itself and by what all others had in flight some time ago.
type fleet struct {
	random *rand.Rand
	now    time.Duration
	vms    []*vm
	// running is the number of requests at each upstream; history has it at each step.
	running []int
	history [][]int
	ends    []ending
	// age is the age of what VMs know of each other.
	age time.Duration
	// lies are added to what is told of an upstream.
	lies map[int]int
	// out are the upstreams that get no requests.
	out map[int]bool
	// naive lets VMs choose the upstream that looks best.
	naive bool
	got   []int
	due   float64
}

// vm is one VM with its requests in flight at each upstream and those that it sent lately.
type vm struct {
	own  []int
	sent []sending
	// silent VMs hear nothing of others.
	silent bool
}

type sending struct {
	at       time.Duration
	upstream int
}

type ending struct {
	at           time.Duration
	vm, upstream int
}

const (
	step    = 5 * time.Millisecond
	slots   = 8
	service = 120 * time.Millisecond
	// maxHistory is the greatest age of what is known, in steps.
	maxHistory = int(2*time.Second/step) + 1
)

func newFleet(vms, upstreams int, age time.Duration) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(uint64(vms), uint64(upstreams))), running: make([]int, upstreams), age: age,
		lies: make(map[int]int), out: make(map[int]bool), got: make([]int, upstreams),
	}
	for range vms {
		f.vms = append(f.vms, &vm{own: make([]int, upstreams)})
	}
	return f
}

// run sends load times what the upstreams can execute for a time and calls see at each step.
func (f *fleet) run(duration time.Duration, load float64, see func()) {
	for end := f.now + duration; f.now < end; f.now += step {
		f.ends = slices.DeleteFunc(f.ends, func(e ending) bool {
			if e.at > f.now {
				return false
			}
			f.running[e.upstream]--
			f.vms[e.vm].own[e.upstream]--
			return true
		})
		f.history = append(f.history, slices.Clone(f.running))
		f.history = f.history[max(len(f.history)-maxHistory, 0):]
		perSecond := load * float64(len(f.running)*slots) / service.Seconds()
		for f.due += perSecond * step.Seconds(); f.due >= 1; f.due-- {
			f.send(f.random.IntN(len(f.vms)), perSecond)
		}
		see()
	}
}

// send lets a VM choose an upstream for a request.
func (f *fleet) send(at int, perSecond float64) {
	v := f.vms[at]
	then := max(len(f.history)-1-int(f.age/step), 0)
	known := slices.Clone(v.own)
	if !v.silent {
		copy(known, f.history[then])
		v.sent = slices.DeleteFunc(v.sent, func(s sending) bool { return s.at <= f.now-f.age })
		for _, s := range v.sent {
			known[s.upstream]++
		}
	}
	var choices []Choice
	for i := range f.running {
		if f.out[i] {
			continue
		}
		choices = append(choices, Choice{Index: i, Cost: float64(max(known[i]+f.lies[i], 0)) / slots, Slope: 1.0 / slots})
	}
	unseen := perSecond * f.age.Seconds()
	if v.silent {
		unseen = 0
	}
	if f.naive {
		unseen = 0
	}
	i := Pick(choices, unseen, f.random.Float64())
	v.own[i]++
	v.sent = append(v.sent, sending{f.now, i})
	f.running[i]++
	f.got[i]++
	// The time of an upstream above its slots goes to all its requests.
	time := time.Duration((0.5 + f.random.Float64()) * float64(service) * max(float64(f.running[i])/slots, 1))
	f.ends = append(f.ends, ending{f.now + time, at, i})
}

// over returns the mean number of requests at an upstream beyond its slots.
func (f *fleet) over() float64 {
	sum := 0
	for _, n := range f.running {
		sum += max(n-slots, 0)
	}
	return float64(sum) / float64(len(f.running))
}

// meanOver runs the fleet and returns the mean of over.
func (f *fleet) meanOver(duration time.Duration, load float64) float64 {
	sum, n := 0.0, 0
	f.run(duration, load, func() { sum, n = sum+f.over(), n+1 })
	return sum / float64(n)
}

// settle runs the fleet for longer than news are under way.
func (f *fleet) settle() { f.run(f.age+time.Second, 0.7, func() {}) }

// randomOver is the excess of a random choice at a load of 0.7: no knowledge, however old, may lead
// to more.
func randomOver(vms, upstreams int) float64 {
	f := newFleet(vms, upstreams, 0)
	f.age = 2 * time.Second
	f.settle()
	f.settle()
	return f.meanOver(4*time.Second, 0.7)
}

// Many VMs know the loads of upstreams as they were 5 ms to 2 s ago. Guards against the herd: with old
// knowledge all choose the upstreams that were idle then.
func TestOldKnowledgeCausesNoHerd(t *testing.T) {
	const upstreams = 24
	for _, vms := range []int{8, 81, 300} {
		atRandom := randomOver(vms, upstreams)
		for _, age := range []time.Duration{5, 40, 240, 1000, 2000} {
			f := newFleet(vms, upstreams, age*time.Millisecond)
			f.settle()
			over := f.meanOver(4*time.Second, 0.7)
			if over > 1.3*atRandom+0.05 {
				t.Errorf("%d VMs, %v old: %.2f requests over the slots on the mean, %.2f by random choice", vms, age*time.Millisecond, over, atRandom)
			}
			if age == 5 && over > atRandom/2 {
				t.Errorf("%d VMs: new knowledge is not used: %.2f requests over the slots, %.2f by random choice", vms, over, atRandom)
			}
			n := newFleet(vms, upstreams, age*time.Millisecond)
			n.naive = true
			n.settle()
			if naive := n.meanOver(4*time.Second, 0.7); age >= 120 && naive < 2*over {
				t.Errorf("%d VMs, %v old: choosing what looks best leads to %.2f only, so the test has no herd", vms, age*time.Millisecond, naive)
			}
		}
	}
}

// Guards against a herd after a burst, in which all leave the upstreams that were full and fill those
// that were not.
func TestNoHerdAfterABurst(t *testing.T) {
	f := newFleet(300, 24, 240*time.Millisecond)
	f.settle()
	f.run(200*time.Millisecond, 2, func() {})
	f.run(time.Second, 0.7, func() {})
	if over, atRandom := f.meanOver(4*time.Second, 0.7), randomOver(300, 24); over > 1.3*atRandom+0.05 {
		t.Errorf("%.2f requests over the slots a second after a burst, %.2f by random choice", over, atRandom)
	}
}

// Guards against all VMs sending everything to an upstream that is back, and is idle in all that they
// know.
func TestUpstreamThatReturnsIsNotFlooded(t *testing.T) {
	const back = 3
	for _, age := range []time.Duration{40, 240, 1000} {
		f := newFleet(300, 24, age*time.Millisecond)
		f.out[back] = true
		f.settle()
		delete(f.out, back)
		highest := 0
		f.run(2*time.Second, 0.7, func() { highest = max(highest, f.running[back]) })
		if highest > 2*slots+slots/2 {
			t.Errorf("%v: %d requests at the upstream that is back, of %d slots", age*time.Millisecond, highest, slots)
		}
		if f.got[back] < slots {
			t.Errorf("%v: %d requests in 2 s at the upstream that is back", age*time.Millisecond, f.got[back])
		}
	}
}

// Guards against VMs that have just joined, know nothing and all start with the same upstream, and
// against work that shifts when a part of the VMs hear nothing any more.
func TestVMsThatHearNothingDoNotShiftWork(t *testing.T) {
	f := newFleet(300, 24, 240*time.Millisecond)
	f.settle()
	for _, v := range f.vms[:150] {
		v.silent = true
	}
	for range 50 {
		f.vms = append(f.vms, &vm{own: make([]int, len(f.running)), silent: true})
	}
	clear(f.got)
	over, atRandom := f.meanOver(4*time.Second, 0.7), randomOver(300, 24)
	if over > 1.3*atRandom+0.05 {
		t.Errorf("%.2f requests over the slots, %.2f by random choice", over, atRandom)
	}
	if lowest, highest := slices.Min(f.got), slices.Max(f.got); highest > 2*lowest {
		t.Errorf("between %d and %d requests at an upstream", lowest, highest)
	}
}

// An upstream of which far too much or too little is told. Guards against starving the others by one
// that seems idle; one that seems full gets the requests back once old knowledge says little.
func TestFalseLoadHasABoundedEffect(t *testing.T) {
	for _, lie := range []int{-1000, 1000} {
		f := newFleet(300, 24, 240*time.Millisecond)
		f.lies[0] = max(lie, -slots)
		f.settle()
		clear(f.got)
		f.run(2*time.Second, 0.7, func() {})
		total := 0
		for _, n := range f.got {
			total += n
		}
		if even := total / len(f.got); f.got[0] > 5*even/2 {
			t.Errorf("told %d: %d requests, %d would be even", lie, f.got[0], even)
		}
	}
}

func TestPickIsProportionalToWhatChoicesTakeIn(t *testing.T) {
	count := func(unseen float64, choices ...Choice) []float64 {
		random, counts := rand.New(rand.NewPCG(1, 2)), make([]float64, len(choices))
		for range 20_000 {
			counts[Pick(choices, unseen, random.Float64())] += 1.0 / 20_000
		}
		return counts
	}
	idle, busy, large := Choice{Index: 0, Cost: 0, Slope: 1}, Choice{Index: 1, Cost: 3, Slope: 1}, Choice{Index: 1, Cost: 0, Slope: 0.5}
	for _, c := range []struct {
		unseen float64
		other  Choice
		want   float64
	}{{0, busy, 0}, {0.9, busy, 0}, {2, busy, 0.2}, {1e9, busy, 0.5}, {0, large, 2.0 / 3}, {1e9, large, 2.0 / 3}, {-1, busy, 0}} {
		if got := count(c.unseen, idle, c.other)[1]; math.Abs(got-c.want) > 0.02 {
			t.Errorf("%v unseen: %+v is picked with probability %.3f, want %.3f", c.unseen, c.other, got, c.want)
		}
	}
}

// Guards against odd figures from elsewhere: every pick is one of the choices.
func FuzzPick(f *testing.F) {
	f.Add(0.0, 0.0, 1.0, 1.0, 0.5)
	f.Add(math.MaxFloat64, -1e300, 1e-300, 1e300, 0.999)
	f.Add(math.NaN(), math.Inf(1), math.Inf(1), math.NaN(), 0.0)
	f.Fuzz(func(t *testing.T, unseen, cost, slope, other, random float64) {
		got := Pick([]Choice{{Index: 4, Cost: cost, Slope: slope}, {Index: 5, Cost: other, Slope: 1}}, unseen, random)
		if got != 4 && got != 5 {
			t.Errorf("picked %d", got)
		}
	})
}

func TestSampleSizeShrinksWithWhatIsUnseen(t *testing.T) {
	before := math.MaxInt
	for _, unseen := range []float64{0, 0.01, 0.3, 0.6, 1, 2, 100, math.Inf(1)} {
		size := SampleSize(unseen, 16)
		if size > before || size < minSample || size > 16 {
			t.Errorf("sample of %d with %v unseen requests at each upstream, %d with fewer", size, unseen, before)
		}
		before = size
	}
	if fresh, old := SampleSize(0, 16), SampleSize(100, 16); fresh != 16 || old != minSample {
		t.Errorf("sample of %d with new knowledge, %d with old", fresh, old)
	}
}

func BenchmarkPick(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, n := range []int{4, 16} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			choices := make([]Choice, n)
			for b.Loop() {
				for i := range choices {
					choices[i] = Choice{Index: i, Cost: random.Float64(), Slope: 0.1}
				}
				Pick(choices, 4, random.Float64())
			}
		})
	}
}
