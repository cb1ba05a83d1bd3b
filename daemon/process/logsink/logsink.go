// Package logsink buffers log lines and writes them in the background, so that logging never
// blocks. Lines that do not fit into the buffer are dropped and counted.
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
	// DefaultBufferBytes is the default size of the buffer: it holds about 2 s of a busy
	// daemon's lines.
	DefaultBufferBytes = 256 << 10
	// flushInterval is the time between two writes. Writing many lines at once takes
	// less CPU time than writing each line.
	flushInterval = 250 * time.Millisecond
)

// Sink is an io.Writer for whole lines. It is safe for concurrent use.
type Sink struct {
	out            io.Writer
	maxBufferBytes int

	mu sync.Mutex
	// buffer holds the lines to write, and spare is the empty buffer that replaces it.
	buffer []byte
	spare  []byte
	// unreported counts the dropped lines that Flush has not reported yet, and
	// dropped counts all dropped lines.
	unreported uint64
	dropped    uint64
}

// New returns a sink that writes to out and buffers up to maxBufferBytes bytes.
func New(out io.Writer, maxBufferBytes int) *Sink {
	return &Sink{out: out, maxBufferBytes: maxBufferBytes}
}

// Write buffers a line. It never fails: a line that does not fit is dropped.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.buffer)+len(line) > s.maxBufferBytes {
		s.unreported++
		s.dropped++
		return len(line), nil
	}
	s.buffer = append(s.buffer, line...)
	return len(line), nil
}

// Dropped returns the number of lines that were dropped since the start.
func (s *Sink) Dropped() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

// Run writes the buffered lines every flushInterval until ctx ends, and then the remaining
// ones. It returns the error of ctx.
func (s *Sink) Run(ctx context.Context) error {
	for {
		err := wait.Sleep(ctx, flushInterval)
		s.Flush()
		if err != nil {
			return err
		}
	}
}

// Flush writes the buffered lines. Only one goroutine may call it at a time.
func (s *Sink) Flush() {
	s.mu.Lock()
	lines, unreported := s.buffer, s.unreported
	s.buffer, s.spare, s.unreported = s.spare[:0], nil, 0
	s.mu.Unlock()
	if unreported > 0 {
		lines = append(lines, `{"level":"WARN","msg":"log lines dropped","count":`...)
		lines = strconv.AppendUint(lines, unreported, 10)
		lines = append(lines, "}\n"...)
	}
	if len(lines) > 0 {
		// A failure to write the log cannot be reported anywhere.
		_, _ = s.out.Write(lines)
	}
	s.mu.Lock()
	s.spare = lines
	s.mu.Unlock()
}
