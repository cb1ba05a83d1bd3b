package kit

import (
	"sync"
	"time"
)

// restartDelay is the time after which the platform starts a process again that has ended.
const restartDelay = 500 * time.Millisecond

// Watched is a machine whose memory the platform watches.
type Watched struct {
	Machine *Machine
	limit   int64

	mu   sync.Mutex
	ends int
	peak int64
}

// NewWatched returns a machine of which the platform kills a process that exceeds memoryMB.
func NewWatched(m *Machine, memoryMB int) *Watched {
	return &Watched{Machine: m, limit: int64(memoryMB) << 20}
}

// Ends returns how often a process has ended, for its memory or by itself, and the most memory that one
// had, in MB.
func (w *Watched) Ends() (ends int, peakMB int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ends, w.peak >> 20
}

// Watch kills the process when it exceeds its memory, and starts it again, until stop is closed.
func (w *Watched) Watch(r *Run, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		bytes := w.Machine.AnonymousBytes()
		w.mu.Lock()
		w.peak = max(w.peak, bytes)
		w.mu.Unlock()
		if bytes <= w.limit && w.Machine.ExitedAt().IsZero() {
			continue
		}
		w.Machine.Kill()
		w.mu.Lock()
		w.ends++
		r.Note("platform: %s has %d MB, over %d: killed, end %d", w.Machine.Name, bytes>>20, w.limit>>20, w.ends)
		w.mu.Unlock()
		time.Sleep(restartDelay)
		if err := w.Machine.Start(false); err != nil {
			r.Note("platform: %v", err)
			return
		}
	}
}

// Fault reports whether processes ended three times on a tenth of the machines, two at least.
func Fault(all []*Watched) bool {
	machines := 0
	for _, w := range all {
		if ends, _ := w.Ends(); ends >= 3 {
			machines++
		}
	}
	return machines >= max(2, (len(all)+9)/10)
}
