package peer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
)

// link is an open connection to another daemon whose Hello has been received.
type link struct {
	conn  *websocket.Conn
	hello wire.Hello
	// dialled is set if this daemon dialled the connection.
	dialled bool
	// queue holds the messages that wait to be written.
	queue chan wire.Message
	// close ends the link.
	close context.CancelFunc
	// done is closed after the link's LinkDown has returned.
	done chan struct{}
	// traffic counts the bytes of frames of all links of the manager.
	traffic *traffic
}

// keepAlive pings the other end once per interval and closes the link when a ping is
// not answered within timeout.
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

// write sends the queued messages until the link ends. Messages that wait together are
// sent in one frame.
func (l *link) write(ctx context.Context) {
	defer l.close()
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-l.queue:
			bytes, err := writeFrame(ctx, l.conn, l.batch(first))
			if err != nil {
				return
			}
			l.traffic.sent.Add(uint64(bytes))
		}
	}
}

// maxBatch is the largest number of messages in one frame.
const maxBatch = 512

// batch returns first with the messages queued after it, up to maxBatch messages.
func (l *link) batch(first wire.Message) []wire.Message {
	messages := []wire.Message{first}
	for len(messages) < maxBatch {
		select {
		case message := <-l.queue:
			messages = append(messages, message)
		default:
			return messages
		}
	}
	return messages
}

// read hands received messages to handler until the link ends.
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
	return len(frame), errors.Wrap(conn.Write(ctx, websocket.MessageBinary, frame), "write peer frame")
}

// readFrame returns the messages of the next frame and its size in bytes.
func readFrame(ctx context.Context, conn *websocket.Conn) ([]wire.Message, int, error) {
	_, frame, err := conn.Read(ctx)
	if err != nil {
		return nil, 0, errors.Wrap(err, "read peer frame")
	}
	messages, err := wire.Decode(frame)
	return messages, len(frame), err
}
