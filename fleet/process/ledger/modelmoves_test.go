package ledger

import (
	"slices"
	"time"
)

// jumps are the spans by which time passes: past pauses, repeats and probes, and
// past the time for a claim.
var jumps = []time.Duration{1100 * time.Millisecond, 5100 * time.Millisecond}

// moves returns everything that can happen next.
func (m *model) moves() []func() {
	var moves []func()
	moves = append(moves, m.requestMoves()...)
	moves = append(moves, m.packetMoves()...)
	moves = append(moves, m.storeMoves()...)
	if m.Left.Crashes > 0 {
		for i := range m.Cores {
			moves = append(moves, func() { m.crash(i) })
		}
	}
	if m.Left.Jumps > 0 {
		for _, jump := range jumps {
			moves = append(moves, func() { m.jump(jump) })
		}
	}
	return moves
}

func (m *model) requestMoves() []func() {
	var moves []func()
	for number, r := range m.Requests {
		alive := r.Incarnation == m.Incarnations[r.Daemon]
		switch {
		case !r.Began:
			moves = append(moves, func() { m.begin(number) })
		case r.Ended || !alive:
		case r.Ran:
			moves = append(moves, func() { m.finish(number) })
		case r.Permit != nil:
			moves = append(moves, func() { m.use(number) })
			if m.Left.Withheld > 0 {
				moves = append(moves, func() { m.withhold(number) })
			}
		case m.Defect == sendFirst:
			moves = append(moves, func() { m.run(r) })
		}
	}
	return moves
}

func (m *model) begin(number int) {
	r := m.Requests[number]
	r.Began = true
	r.Incarnation = m.Incarnations[r.Daemon]
	r.RanBefore = m.Runs
	m.step(r.Daemon, Submit{Claim: modelClaim(number), Deadline: m.Now.Add(time.Minute)})
}

// use sends a permitted attempt, unless the permit has ended.
func (m *model) use(number int) {
	r := m.Requests[number]
	if m.Now.Before(r.Permit.Deadline) {
		m.run(r)
		return
	}
	r.Ended = true
	m.step(r.Daemon, Release{Claim: modelClaim(number)})
}

func (m *model) withhold(number int) {
	m.Left.Withheld--
	r := m.Requests[number]
	r.Ended = m.Defect != sendReleased
	m.step(r.Daemon, Release{Claim: modelClaim(number)})
}

func (m *model) finish(number int) {
	r := m.Requests[number]
	r.Ended = true
	m.step(r.Daemon, Finish{Claim: modelClaim(number), Answer: &modelBody})
}

func (m *model) packetMoves() []func() {
	var moves []func()
	for i := range m.Packets {
		moves = append(moves, func() { m.deliver(i, false) })
		if m.Left.Losses > 0 {
			moves = append(moves, func() {
				m.Left.Losses--
				m.Packets = slices.Delete(m.Packets, i, i+1)
			}, func() {
				m.Left.Losses--
				m.deliver(i, true)
			})
		}
	}
	return moves
}

func (m *model) deliver(i int, again bool) {
	p := m.Packets[i]
	if !again {
		m.Packets = slices.Delete(m.Packets, i, i+1)
	}
	m.step(slices.Index(modelVMs[:], p.To), Receive{From: p.From, Message: p.Message})
}

func (m *model) storeMoves() []func() {
	var moves []func()
	for i, c := range m.Calls {
		if c.Effect == nil {
			moves = append(moves, func() { m.effect(i) })
		} else {
			moves = append(moves, func() { m.answer(i, c.Effect) })
		}
		if m.Left.StoreFaults > 0 && !c.Abandoned {
			moves = append(moves, func() { m.lose(i) })
			if c.Effect == nil {
				moves = append(moves, func() { m.refuse(i) })
				moves = append(moves, func() { m.abandon(i) })
			}
		}
	}
	return moves
}

// effect lets a call take effect.
func (m *model) effect(i int) {
	c := m.Calls[i]
	c.Effect = &storeEffect{}
	switch {
	case c.Read != nil:
		m.readEffect(c)
	case m.Objects[c.Write.Name].Version == c.Write.Expected || m.Defect == unconditional:
		m.Version++
		m.Objects[c.Write.Name] = storedObject{Version: m.Version, Value: c.Write.Value}
		c.Effect.Version = m.Version
	default:
		c.Effect.Result = Conflict
	}
	if c.Abandoned || c.Incarnation != m.Incarnations[c.Daemon] {
		m.Calls = slices.Delete(m.Calls, i, i+1)
	}
}

func (m *model) readEffect(c *storeCall) {
	stored, present := m.Objects[c.Read.Name]
	if !present {
		c.Effect.Result = NotFound
		return
	}
	c.Effect.Version = stored.Version
	c.Effect.Value = stored.Value
}

// answer tells the daemon how a call ended.
func (m *model) answer(i int, effect *storeEffect) {
	c := m.Calls[i]
	m.Calls = slices.Delete(m.Calls, i, i+1)
	m.tell(c, effect)
}

func (m *model) tell(c *storeCall, effect *storeEffect) {
	if c.Incarnation != m.Incarnations[c.Daemon] {
		return
	}
	if c.Read != nil {
		m.step(c.Daemon, ReadDone{
			Operation: c.Read.Operation, Result: effect.Result, Version: effect.Version, Value: effect.Value,
		})
		return
	}
	if m.Defect == noReadBack && effect.Result == Unresolved {
		m.Version++
		effect = &storeEffect{Result: Done, Version: m.Version}
	}
	m.step(c.Daemon, WriteDone{Operation: c.Write.Operation, Result: effect.Result, Version: effect.Version})
}

// lose ends a call without an answer. It took effect if it had before.
func (m *model) lose(i int) {
	m.Left.StoreFaults--
	m.answer(i, &storeEffect{Result: Unresolved})
}

// refuse ends a call that is over the rate.
func (m *model) refuse(i int) {
	m.Left.StoreFaults--
	m.answer(i, &storeEffect{Result: Limited})
}

// abandon ends a call at the daemon that may still take effect at the store.
func (m *model) abandon(i int) {
	m.Left.StoreFaults--
	c := m.Calls[i]
	c.Abandoned = true
	m.tell(c, &storeEffect{Result: Unresolved})
}

// crash replaces a daemon by one with empty memory. Its calls of the store and
// its messages may still arrive.
func (m *model) crash(i int) {
	m.Left.Crashes--
	m.Incarnations[i]++
	m.startCore(i)
	m.Calls = slices.DeleteFunc(m.Calls, func(c *storeCall) bool {
		return c.Daemon == i && c.Effect != nil
	})
}

func (m *model) jump(length time.Duration) {
	m.Left.Jumps--
	m.Now = m.Now.Add(length)
	for i, core := range m.Cores {
		core.Tick(m.Now)
		m.carryOut(i)
	}
}
