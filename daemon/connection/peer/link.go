package peer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
)

// link is one open connection.
type link struct {
	conn  *websocket.Conn
	hello wire.Hello
	// dialled is set if this end dialled.
	dialled bool
	ring    chan wire.Message
	close   context.CancelFunc
	// done is closed after LinkDown.
	done chan struct{}
	// traffic counts the frames of all links of the manager.
	traffic *traffic
}

// keepAlive ends the link when the other end does not answer.
func (l *link) keepAlive(ctx context.Context, interval, timeout time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if err := l.ping(ctx, timeout); err != nil {
			l.close()
			return
		}
	}
}

func (l *link) ping(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return errors.Wrap(l.conn.Ping(ctx), "ping peer")
}

// write sends all that waits in the ring as one frame, again and again.
func (l *link) write(ctx context.Context) {
	defer l.close()
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-l.ring:
			bytes, err := writeFrame(ctx, l.conn, l.batch(first))
			if err != nil {
				return
			}
			l.traffic.sent.Add(uint64(bytes))
		}
	}
}

// maxBatch bounds the messages in one frame.
const maxBatch = 512

func (l *link) batch(first wire.Message) []wire.Message {
	messages := []wire.Message{first}
	for len(messages) < maxBatch {
		select {
		case message := <-l.ring:
			messages = append(messages, message)
		default:
			return messages
		}
	}
	return messages
}

func (l *link) read(ctx context.Context, handler Handler) {
	for {
		messages, bytes, err := readFrame(ctx, l.conn)
		if err != nil {
			return
		}
		l.traffic.received.Add(uint64(bytes))
		handler.Receive(l.hello, messages)
	}
}

// writeFrame sends messages as one frame and returns the frame's size in bytes.
func writeFrame(ctx context.Context, conn *websocket.Conn, messages []wire.Message) (int, error) {
	frame, err := wire.Encode(messages)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return len(frame), errors.Wrap(conn.Write(ctx, websocket.MessageBinary, frame), "write frame")
}

// readFrame returns the messages of the next frame and its size in bytes.
func readFrame(ctx context.Context, conn *websocket.Conn) ([]wire.Message, int, error) {
	_, frame, err := conn.Read(ctx)
	if err != nil {
		return nil, 0, errors.Wrap(err, "read frame")
	}
	messages, err := wire.Decode(frame)
	return messages, len(frame), err
}
