package relay

import (
	"bytes"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/fleet/process/answers"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// defaultMaxAnswerBytes is the default of Options.MaxAnswerBytes.
	defaultMaxAnswerBytes = 64 << 20
	// freeHeadBytes is how much of a head, and freeContentBytes how much of an event or a buffered
	// body, an attempt holds without a reservation; the memory of a request in progress includes
	// them.
	freeHeadBytes    = 8 << 10
	freeContentBytes = 4 << 10
	// maxHeadBytes limits the head of an answer with the interim answers before it.
	maxHeadBytes = 64 << 10
	// headLineBytes is the memory of a line of a head beyond its text, which is held twice.
	headLineBytes = 128
)

// answerBudget is the budget that all attempts of a relay share. It is safe for concurrent use.
type answerBudget struct {
	mu   sync.Mutex
	core *answers.Budget
}

func (b *answerBudget) reserve(upstream version.UpstreamID, n int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.Reserve(upstream, n)
}

func (b *answerBudget) release(upstream version.UpstreamID, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.Release(upstream, n)
}

func (b *answerBudget) stats() answers.Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.Stats()
}

// holding is what one attempt holds of its upstream's answer. It is safe for concurrent use: the
// transport reads the head in a goroutine of its own. The nil holding holds nothing.
type holding struct {
	budget   *answerBudget
	upstream version.UpstreamID

	mu sync.Mutex
	// headRead counts the bytes read of the head; head and content are the bytes held of the head
	// and of what follows it.
	headRead, head, content int64
	reserved                int64
	released                bool
	// oldHead is the head so far if it is one of HTTP/1.0; else nil.
	oldHead []byte
	// exceeded is the error with which a limit or the budget ended the head.
	exceeded error
}

// newHolding returns what a request to an upstream holds, at first nothing.
func (r *Relay) newHolding(upstream version.UpstreamID) *holding {
	return &holding{budget: r.answers, upstream: upstream}
}

// nextHead prepares for the head of another answer.
func (h *holding) nextHead() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.headRead, h.head, h.oldHead, h.exceeded = 0, 0, nil, nil
	// Holding less is never refused.
	_ = h.adjust()
}

// readHead adds bytes of the head that have been read.
func (h *holding) readHead(text []byte) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.oldHead != nil || h.headRead == 0 && bytes.HasPrefix(text, oldProtocol) {
		h.oldHead = append(h.oldHead, text...)
	}
	if h.headRead += int64(len(text)); h.headRead > maxHeadBytes {
		h.exceeded = errors.Newf("head is longer than %d bytes", maxHeadBytes)
		return h.exceeded
	}
	h.head += 2*int64(len(text)) + headLineBytes*int64(bytes.Count(text, []byte("\n")))
	if err := h.adjust(); h.exceeded == nil {
		h.exceeded = err
	}
	return h.exceeded
}

// oldProtocol is the begin of a head of HTTP/1.0.
var oldProtocol = []byte("HTTP/1.0 ")

// isFaultilyFramed reports whether the head is one of HTTP/1.0 with a transfer encoding. The
// transport ignores the encoding, so that the sizes of chunks would be taken for a part of a body
// that ends with its connection (RFC 9112, section 6.1).
func (h *holding) isFaultilyFramed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	head := h.oldHead
	h.oldHead = nil
	for line := range bytes.Lines(head) {
		if len(bytes.TrimSpace(line)) == 0 {
			break
		}
		if name, _, _ := bytes.Cut(line, []byte(":")); bytes.EqualFold(bytes.TrimSpace(name), []byte("Transfer-Encoding")) {
			return true
		}
	}
	return false
}

// hold sets the bytes held of an event or a buffered body.
func (h *holding) hold(n int) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.content
	h.content = int64(n)
	err := h.adjust()
	if err != nil {
		h.content = before
	}
	return err
}

// adjust reserves or releases bytes as the held ones change. h.mu must be held.
func (h *holding) adjust() error {
	needed := max(h.head-freeHeadBytes, 0) + max(h.content-freeContentBytes, 0)
	switch {
	case h.released, needed == h.reserved:
		return nil
	case needed < h.reserved:
		h.budget.release(h.upstream, h.reserved-needed)
	default:
		if err := h.budget.reserve(h.upstream, needed-h.reserved); err != nil {
			return err
		}
	}
	h.reserved = needed
	return nil
}

// excess returns the error with which a limit or the budget ended the head, or nil.
func (h *holding) excess() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.exceeded
}

// release gives everything back. Nothing is reserved after it.
func (h *holding) release() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.reserved > 0 {
		h.budget.release(h.upstream, h.reserved)
	}
	h.reserved, h.released = 0, true
}
