// Package wait holds the two ways in which a goroutine waits here: for time to
// pass, and for another goroutine's decision.
package wait

import (
	"context"
	"sync"
	"time"
)

// Sleep pauses for duration. It returns the context's error if that ends
// first.
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

// Map holds those that wait, each for one decision under a key of its own. It
// is safe for concurrent use.
type Map[K comparable, D any] struct {
	mu      sync.Mutex
	waiting map[K]chan D
}

// Await returns the channel that the decision for key will be on.
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

// Resolve ends the wait for key. It reports false if nobody waits for it.
func (m *Map[K, D]) Resolve(key K, decision D) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	decided, waiting := m.waiting[key]
	if !waiting {
		return false
	}
	delete(m.waiting, key)
	decided <- decision
	return true
}

// Len returns how many wait.
func (m *Map[K, D]) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.waiting)
}
