package peer

import "sync/atomic"

// traffic counts the bytes of frames, without those of the WebSocket itself.
type traffic struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

// BytesSent returns the encoded bytes that were sent on all links so far.
func (m *Manager) BytesSent() uint64 { return m.traffic.sent.Load() }

// BytesReceived returns the encoded bytes that came in on all links so far.
func (m *Manager) BytesReceived() uint64 { return m.traffic.received.Load() }
