// Package logsink writes log lines to a file descriptor without ever blocking
// those who log. What does not fit into its buffer is dropped and counted.
package logsink

import (
	"context"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
)

const (
	// DefaultBytes bounds the lines that wait to be written: about 2 s of a
	// busy daemon's lines.
	DefaultBytes = 256 << 10
	// flushInterval is how often lines are written. One write for many lines
	// costs less processor time.
	flushInterval = 250 * time.Millisecond
)

// Sink is an io.Writer for whole lines. It is safe for concurrent use.
type Sink struct {
	out   io.Writer
	limit int

	mu      sync.Mutex
	buffer  []byte
	spare   []byte
	dropped uint64
	total   uint64
}

// New returns a sink that holds up to limit bytes for out.
func New(out io.Writer, limit int) *Sink { return &Sink{out: out, limit: limit} }

// Write takes a line. It never fails: a line that does not fit is dropped.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.buffer)+len(line) > s.limit {
		s.dropped++
		s.total++
		return len(line), nil
	}
	s.buffer = append(s.buffer, line...)
	return len(line), nil
}

// Dropped returns how many lines were dropped since the start.
func (s *Sink) Dropped() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// Run writes lines until ctx ends, and then what is left.
func (s *Sink) Run(ctx context.Context) error {
	for {
		err := wait.Sleep(ctx, flushInterval)
		s.Flush()
		if err != nil {
			return err
		}
	}
}

// Flush writes what is held. Only one goroutine may call it at a time.
func (s *Sink) Flush() {
	s.mu.Lock()
	lines, dropped := s.buffer, s.dropped
	s.buffer, s.spare, s.dropped = s.spare[:0], nil, 0
	s.mu.Unlock()
	if dropped > 0 {
		lines = append(lines, `{"level":"WARN","msg":"log lines dropped","count":`...)
		lines = strconv.AppendUint(lines, dropped, 10)
		lines = append(lines, "}\n"...)
	}
	if len(lines) > 0 {
		// There is nowhere to report that the log cannot be written.
		_, _ = s.out.Write(lines)
	}
	s.mu.Lock()
	s.spare = lines
	s.mu.Unlock()
}
