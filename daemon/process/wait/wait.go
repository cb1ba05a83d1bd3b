// Package wait lets a goroutine wait for a duration, for an event, or for a decision that
// another goroutine makes.
package wait

import (
	"context"
	"sync"
	"time"
)

// Sleep waits for duration, or until ctx ends and then returns the error of ctx.
func Sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// CancelOn calls cancel once event is closed, unless stop is called before.
func CancelOn(event <-chan struct{}, cancel func()) (stop func()) {
	stopped := make(chan struct{})
	go func() {
		select {
		case <-event:
			cancel()
		case <-stopped:
		}
	}()
	return func() { close(stopped) }
}

// Map holds the pending waits, each for one decision under its own key. The zero value
// is ready to use. It is safe for concurrent use.
type Map[K comparable, D any] struct {
	mu      sync.Mutex
	waiting map[K]chan D
}

// Await starts a wait for key and returns the channel that receives its decision.
func (m *Map[K, D]) Await(key K) <-chan D {
	decided := make(chan D, 1)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.waiting == nil {
		m.waiting = make(map[K]chan D)
	}
	m.waiting[key] = decided
	return decided
}

// Forget ends the wait for key without a decision.
func (m *Map[K, D]) Forget(key K) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.waiting, key)
}

// Resolve ends the wait for key with a decision. It reports whether a wait for key was
// pending.
func (m *Map[K, D]) Resolve(key K, decision D) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	decided, pending := m.waiting[key]
	if !pending {
		return false
	}
	delete(m.waiting, key)
	decided <- decision
	return true
}

// Len returns the number of pending waits.
func (m *Map[K, D]) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.waiting)
}
