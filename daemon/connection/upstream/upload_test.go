package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// Guards against an upstream that accepts a request and never reads it, which held the request, its
// body and its slot until the request's deadline; and against a time limit that is left on a connection
// for its next request.
func TestRequestThatIsNotReadIsGivenUp(t *testing.T) {
	for name, reads := range map[string]bool{"never reads": false, "reads slowly": true} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			const length = 1 << 20
			ended := make(chan struct{})
			defer close(ended)
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				if !reads {
					<-ended
					return
				}
				reader := bufio.NewReader(conn)
				for {
					read, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					// The whole of a long one takes several time limits.
					for {
						n, err := io.CopyN(io.Discard, read.Body, 32<<10)
						if err != nil {
							break
						}
						time.Sleep(time.Duration(n) * time.Microsecond / 2)
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			}()
			transport := NewTransport(nil)
			defer transport.CloseIdleConnections()
			dial := transport.DialContext
			var conn *countedConn
			transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
				opened, err := dial(ctx, network, address)
				if err == nil {
					conn = opened.(*countedConn)
					conn.uploadTimeout = 200 * time.Millisecond
					_ = conn.Conn.(*net.TCPConn).SetWriteBuffer(16 << 10)
				}
				return opened, err
			}
			send := func(length int64) error {
				tracker := &SendTracker{}
				out, err := http.NewRequestWithContext(tracker.Context(t.Context()), http.MethodPost, "http://"+listener.Addr().String(), nil)
				if err != nil {
					t.Fatal(err)
				}
				out.Body, out.ContentLength = NewBody(io.LimitReader(zeros{}, length)), length
				answer, err := transport.RoundTrip(out)
				if err != nil {
					return errors.CombineErrors(tracker.WriteError(), err)
				}
				return answer.Body.Close()
			}
			err = send(length)
			if !reads {
				if !errors.Is(err, ErrUploadStalled) {
					t.Errorf("error %v, want ErrUploadStalled", err)
				}
				return
			}
			if err != nil {
				t.Fatalf("a request that was read slowly failed: %v", err)
			}
			time.Sleep(300 * time.Millisecond)
			// The next request is short and has no time limit.
			conn.mu.Lock()
			limited := conn.limited
			conn.mu.Unlock()
			if !limited {
				t.Error("a long request was sent without a time limit")
			}
			if err := send(1); err != nil {
				t.Errorf("the next request on the connection failed: %v", err)
			}
		})
	}
}

// zeros is a reader of zero bytes without end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }
