package peer

import "sync/atomic"

// traffic counts the bytes of frames, without the WebSocket's own framing.
type traffic struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

// BytesSent returns the number of bytes of encoded frames sent on all links so far.
func (m *Manager) BytesSent() uint64 { return m.traffic.sent.Load() }

// BytesReceived returns the number of bytes of encoded frames received on all links so
// far.
func (m *Manager) BytesReceived() uint64 { return m.traffic.received.Load() }
