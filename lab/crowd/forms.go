package crowd

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
)

const (
	// headBytes is the size of the header lines of a head within the limits.
	headBytes = 16_000
	// pieceBytes is the size of a small piece of a body, and piecePause the time between two.
	pieceBytes = 16 << 10
	piecePause = time.Millisecond
	// byteChunks is the number of chunks of one byte. Each takes six bytes on the wire.
	byteChunks = 8 << 10
	// overBytes is what a client sends of a body over the limit, in bytes.
	overBytes = 2 << 20
	// pipelineBytes is what a client sends of requests without reading, in bytes, if the daemon reads
	// them.
	pipelineBytes = 128 << 10
	// dripPause is the time between two bytes of a client that sends very slowly.
	dripPause = 50 * time.Millisecond
	// extensionBytes is what a client sends in extensions of chunks, and in trailers, in bytes.
	extensionBytes = 256 << 10
)

// Form is what a client does.
type Form struct {
	Name string
	send func(ctx context.Context, s *sender, t Target)
	// Whole is set if the client's requests are whole, so that they may be run.
	Whole bool
	// unread is set if the client reads nothing.
	unread bool
}

// Forms are all forms of clients outside the limits, those of TLS handshakes excepted.
var Forms = []Form{
	{Name: "bodies short of their end", send: func(_ context.Context, s *sender, t Target) {
		s.write(t.head("POST", t.length(t.BodyBytes)) + strings.Repeat("b", t.BodyBytes-1))
	}},
	{Name: "bodies in pieces", send: func(ctx context.Context, s *sender, t Target) {
		ok := s.write(t.head("POST", t.length(t.BodyBytes)))
		for sent := 0; ok && sent < t.BodyBytes-pieceBytes; sent += pieceBytes {
			ok = s.write(strings.Repeat("b", pieceBytes)) && wait.Sleep(ctx, piecePause) == nil
		}
	}},
	{Name: "chunks of one byte", send: func(_ context.Context, s *sender, t Target) {
		s.write(t.head("POST", chunked) + strings.Repeat("1\r\nb\r\n", byteChunks))
	}},
	{Name: "bodies barely begun", send: func(_ context.Context, s *sender, t Target) {
		s.write(t.head("POST", t.length(min(t.BodyBytes, 200_000))) + "b")
	}},
	{Name: "bodies over the limit", send: func(_ context.Context, s *sender, t Target) {
		if s.write(t.head("POST", t.length(1<<30))) {
			s.repeat(overBytes, func(int) string { return strings.Repeat("b", pieceBytes) })
		}
	}},
	{Name: "chunks over the limit", send: func(_ context.Context, s *sender, t Target) {
		if s.write(t.head("POST", chunked)) {
			s.repeat(overBytes, func(int) string { return fmt.Sprintf("%x\r\n%s\r\n", pieceBytes, strings.Repeat("b", pieceBytes)) })
		}
	}},
	{Name: "chunk extensions", send: func(_ context.Context, s *sender, t Target) {
		if s.write(t.head("POST", chunked)) {
			s.repeat(extensionBytes, func(int) string { return "1;x=" + strings.Repeat("e", 2000) + "\r\nb\r\n" })
		}
	}},
	{Name: "trailers", send: func(_ context.Context, s *sender, t Target) {
		if s.write(t.head("POST", chunked) + "1\r\nb\r\n0\r\n") {
			s.repeat(extensionBytes, manyLines)
		}
	}},
	{Name: "heads of short fields", Whole: true, send: func(_ context.Context, s *sender, t Target) {
		s.write(t.head("GET", shortLines()))
	}},
	{Name: "heads without end", send: func(_ context.Context, s *sender, t Target) {
		if s.write(strings.TrimSuffix(t.head("GET", shortLines()), "\r\n")) {
			s.repeat(extensionBytes, manyLines)
		}
	}},
	{Name: "unfinished heads of short fields", send: func(_ context.Context, s *sender, t Target) {
		s.write(strings.TrimSuffix(t.head("GET", shortLines()), "\r\n"))
	}},
	{Name: "slow heads", send: func(ctx context.Context, s *sender, t Target) {
		head := strings.TrimSuffix(t.head("GET", shortLines()), "\r\n")
		ok := s.write(head[:len(head)/2])
		for n := len(head) / 2; ok && n < len(head); n++ {
			ok = s.write(head[n:n+1]) && wait.Sleep(ctx, dripPause) == nil
		}
	}},
	{Name: "silent connections", send: func(context.Context, *sender, Target) {}},
	{Name: "pipelined requests", Whole: true, unread: true, send: func(_ context.Context, s *sender, t Target) {
		s.repeat(pipelineBytes, func(int) string { return strings.Repeat(t.head("GET", ""), 16) })
	}},
	{Name: "upgrades", Whole: true, send: func(_ context.Context, s *sender, t Target) {
		s.write(t.head("GET", "Connection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\n"+
			"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n") + strings.Repeat("\x82\x7e", 8<<10))
	}},
	{Name: "HTTP/2 prefaces", send: func(_ context.Context, s *sender, t Target) {
		s.write("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + strings.Repeat("\x00\x00\x00\x04\x00\x00\x00\x00\x00", 1<<10))
	}},
}

// TLSForms are the forms of clients of a listener that uses TLS.
var TLSForms = []Form{
	{Name: "silent connections", send: func(context.Context, *sender, Target) {}},
	{Name: "handshakes that do not end", send: func(_ context.Context, s *sender, _ Target) {
		// A record of the largest size with a handshake message that goes on after it.
		s.write("\x16\x03\x01\x40\x00\x01\x00\xff\xff" + strings.Repeat("h", 16_000))
	}},
}

// chunked is the head line of a body in chunks.
const chunked = "Transfer-Encoding: chunked\r\n"

// length returns the head line of a body of a length.
func (Target) length(bytes int) string { return fmt.Sprintf("Content-Length: %d\r\n", bytes) }

// head returns the head of a request with further lines.
func (t Target) head(method, lines string) string {
	return method + " " + t.Path + " HTTP/1.1\r\nHost: " + t.Host + "\r\n" + t.Header + lines + "\r\n"
}

// shortLine returns a short header line, a different one for each n.
func shortLine(n int) string { return fmt.Sprintf("%x:\r\n", n) }

// manyLines returns the n-th part of header lines without end.
func manyLines(n int) string {
	const many = 500
	var lines strings.Builder
	for line := n * many; line < (n+1)*many; line++ {
		lines.WriteString(shortLine(line))
	}
	return lines.String()
}

// shortLines returns as many short header lines as a head within the limits has.
func shortLines() string {
	var lines strings.Builder
	for n := 0; lines.Len() < headBytes; n++ {
		lines.WriteString(shortLine(n))
	}
	return lines.String()
}
