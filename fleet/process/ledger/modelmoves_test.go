package ledger

import (
	"slices"
	"time"
)

// timeJumps are the durations by which time advances: beyond back-offs, resend
// intervals and probe time-outs, and beyond ClaimTimeout.
var timeJumps = []time.Duration{1100 * time.Millisecond, 5100 * time.Millisecond}

// transitions returns everything that can happen next.
func (m *model) transitions() []func() {
	var transitions []func()
	transitions = append(transitions, m.requestTransitions()...)
	transitions = append(transitions, m.packetTransitions()...)
	transitions = append(transitions, m.storeTransitions()...)
	if m.Budget.Crashes > 0 {
		for i := range m.Cores {
			transitions = append(transitions, func() { m.crash(i) })
		}
	}
	if m.Budget.Returns > 0 {
		transitions = append(transitions, m.returnStore)
	}
	if m.Budget.TimeJumps > 0 && !m.restoring() {
		for _, jump := range timeJumps {
			transitions = append(transitions, func() { m.advanceTime(jump) })
		}
	}
	return transitions
}

func (m *model) requestTransitions() []func() {
	var transitions []func()
	for number, r := range m.Requests {
		sameIncarnation := r.Incarnation == m.Incarnations[r.Daemon]
		switch {
		case !r.Submitted:
			transitions = append(transitions, func() { m.submit(number) })
		case r.Completed || !sameIncarnation:
		case r.Executed:
			transitions = append(transitions, func() { m.finish(number) })
		case r.Permit != nil:
			transitions = append(transitions, func() { m.sendAttempt(number) })
			if m.Budget.WithheldPermits > 0 {
				transitions = append(transitions, func() { m.withholdPermit(number) })
			}
		case m.Defect == sendBeforeVerdict:
			transitions = append(transitions, func() { m.execute(r) })
		}
	}
	return transitions
}

func (m *model) submit(number int) {
	r := m.Requests[number]
	r.Submitted = true
	r.Incarnation = m.Incarnations[r.Daemon]
	r.ExecutionsBefore = m.Executions
	m.step(r.Daemon, Submit{Claim: modelClaim(number), Deadline: m.Now.Add(time.Minute)})
}

// sendAttempt sends a permitted attempt, or releases it if the permit has expired.
func (m *model) sendAttempt(number int) {
	r := m.Requests[number]
	if m.Now.Before(r.Permit.Deadline) {
		m.execute(r)
		return
	}
	r.Completed = true
	m.step(r.Daemon, Release{Claim: modelClaim(number)})
}

func (m *model) withholdPermit(number int) {
	m.Budget.WithheldPermits--
	r := m.Requests[number]
	r.Completed = m.Defect != sendAfterRelease
	m.step(r.Daemon, Release{Claim: modelClaim(number)})
}

func (m *model) finish(number int) {
	r := m.Requests[number]
	r.Completed = true
	m.step(r.Daemon, Finish{Claim: modelClaim(number), Answer: &modelBody})
}

func (m *model) packetTransitions() []func() {
	var transitions []func()
	for i := range m.Packets {
		transitions = append(transitions, func() { m.deliver(i, false) })
		if m.Budget.MessageFaults > 0 {
			transitions = append(transitions, func() {
				m.Budget.MessageFaults--
				m.Packets = slices.Delete(m.Packets, i, i+1)
			}, func() {
				m.Budget.MessageFaults--
				m.deliver(i, true)
			})
		}
	}
	return transitions
}

func (m *model) deliver(i int, keep bool) {
	p := m.Packets[i]
	if !keep {
		m.Packets = slices.Delete(m.Packets, i, i+1)
	}
	m.step(slices.Index(modelVMs[:], p.To), Receive{From: p.From, Message: p.Message})
}

func (m *model) storeTransitions() []func() {
	var transitions []func()
	for i, c := range m.Calls {
		if c.Outcome == nil {
			transitions = append(transitions, func() { m.applyCall(i) })
		} else {
			transitions = append(transitions, func() { m.answerCall(i, c.Outcome) })
		}
		if m.Budget.StoreFaults > 0 && !c.TimedOut {
			transitions = append(transitions, func() { m.loseAnswer(i) })
			if c.Outcome == nil {
				transitions = append(transitions, func() { m.rejectCall(i) })
				transitions = append(transitions, func() { m.timeOutCall(i) })
			}
		}
	}
	return transitions
}

// applyCall lets a store call take effect.
func (m *model) applyCall(i int) {
	c := m.Calls[i]
	c.Outcome = &storeOutcome{}
	switch {
	case c.Read != nil:
		m.applyRead(c)
	case m.Objects[c.Write.Name].Version == c.Write.Expected || m.Defect == unconditionalWrites:
		m.Version++
		m.Objects[c.Write.Name] = storedObject{Version: m.Version, Value: c.Write.Value}
		c.Outcome.Version = m.Version
	default:
		c.Outcome.Result = Conflict
	}
	if c.TimedOut || c.Incarnation != m.Incarnations[c.Daemon] {
		m.Calls = slices.Delete(m.Calls, i, i+1)
	}
}

func (m *model) applyRead(c *modelStoreCall) {
	stored, present := m.Objects[c.Read.Name]
	if !present {
		c.Outcome.Result = NotFound
		return
	}
	c.Outcome.Version = stored.Version
	c.Outcome.Value = stored.Value
}

// answerCall removes a store call and reports its outcome to the daemon.
func (m *model) answerCall(i int, outcome *storeOutcome) {
	c := m.Calls[i]
	m.Calls = slices.Delete(m.Calls, i, i+1)
	m.reportOutcome(c, outcome)
}

func (m *model) reportOutcome(c *modelStoreCall, outcome *storeOutcome) {
	if c.Incarnation != m.Incarnations[c.Daemon] {
		return
	}
	if c.Read != nil {
		m.step(c.Daemon, ReadDone{
			Operation: c.Read.Operation, Result: outcome.Result, Version: outcome.Version, Value: outcome.Value,
		})
		return
	}
	if m.Defect == unverifiedWrites && outcome.Result == Unresolved {
		m.Version++
		outcome = &storeOutcome{Result: Succeeded, Version: m.Version}
	}
	m.step(c.Daemon, WriteDone{Operation: c.Write.Operation, Result: outcome.Result, Version: outcome.Version})
}

// loseAnswer ends a call without an answer, whether it took effect or not.
func (m *model) loseAnswer(i int) {
	m.Budget.StoreFaults--
	m.answerCall(i, &storeOutcome{Result: Unresolved})
}

// rejectCall ends a call that exceeds the store's rate limit.
func (m *model) rejectCall(i int) {
	m.Budget.StoreFaults--
	m.answerCall(i, &storeOutcome{Result: Limited})
}

// timeOutCall ends a call at the daemon while it may still take effect at the
// store.
func (m *model) timeOutCall(i int) {
	m.Budget.StoreFaults--
	c := m.Calls[i]
	c.TimedOut = true
	m.reportOutcome(c, &storeOutcome{Result: Unresolved})
}

// crash replaces a daemon by one with empty memory. Its store calls that have not
// yet taken effect may still do so, and its messages in transit may still arrive.
func (m *model) crash(i int) {
	m.Budget.Crashes--
	m.Incarnations[i]++
	m.startCore(i)
	m.Calls = slices.DeleteFunc(m.Calls, func(c *modelStoreCall) bool {
		return c.Daemon == i && c.Outcome != nil
	})
}

// returnStore returns the store to an empty copy. The calls in progress that have not taken effect
// get no answer, and the daemons learn of the return at the next one.
func (m *model) returnStore() {
	m.Budget.Returns--
	m.Objects = make(map[string]storedObject)
	pending := m.Calls
	m.Calls = slices.DeleteFunc(slices.Clone(m.Calls), func(c *modelStoreCall) bool { return c.Outcome == nil })
	if m.Defect != unnoticedReturns {
		for i := range m.Cores {
			m.step(i, StoreReturned{})
		}
	}
	for _, c := range pending {
		if c.Outcome == nil && !c.TimedOut {
			m.reportOutcome(c, &storeOutcome{Result: Unresolved})
		}
	}
}

// restoring reports whether a daemon writes again what the store has lost. That takes less time
// than a time jump.
func (m *model) restoring() bool {
	for _, core := range m.Cores {
		for _, w := range core.writers {
			if w != nil && slices.ContainsFunc(w.logs, (*logState).restoring) {
				return true
			}
		}
	}
	return false
}

func (m *model) advanceTime(duration time.Duration) {
	m.Budget.TimeJumps--
	m.Now = m.Now.Add(duration)
	for i, core := range m.Cores {
		core.Tick(m.Now)
		m.performActions(i)
	}
}
