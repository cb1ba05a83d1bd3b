package edge

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/lab/generalupstream"
	"github.com/trefoilwell/trefoilwell/platform"
	"github.com/trefoilwell/trefoilwell/platform/platformtest"
)

// rawAnswer is an answer as bytes.
func rawAnswer(id, more string) string {
	text := generalupstream.Answer(id)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		platformtest.HeaderRequestID, id, platformtest.HeaderReceipt, generalupstream.Seal(id), more, len(text), text)
}

// scripted is an upstream that answers each request of a connection with what script
// returns, as it is.
func scripted(t *testing.T, script func(conn net.Conn, id string, before []string)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				var before []string
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					id := request.Header.Get(platformtest.HeaderRequestID)
					script(conn, id, before)
					before = append(before, id)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// An operator of a similar system saw a second copy of an answer, late, on a connection
// that was in use again: the next caller got an answer that was not its own. Guards
// against that, and against other bytes that no request has asked for.
func TestNoCallerGetsWhatWasSentBeyondAnAnswer(t *testing.T) {
	for name, script := range map[string]func(conn net.Conn, id string, before []string){
		"copy before the next answer": func(conn net.Conn, id string, before []string) {
			if len(before) > 0 {
				fmt.Fprint(conn, rawAnswer(before[len(before)-1], ""))
			}
			fmt.Fprint(conn, rawAnswer(id, ""))
		},
		"copy at once": func(conn net.Conn, id string, _ []string) {
			fmt.Fprint(conn, rawAnswer(id, "")+rawAnswer(id, ""))
		},
		"copy while idle": func(conn net.Conn, id string, _ []string) {
			fmt.Fprint(conn, rawAnswer(id, ""))
			time.AfterFunc(3*time.Millisecond, func() { fmt.Fprint(conn, rawAnswer(id, "")) })
		},
		"interim answer": func(conn net.Conn, id string, _ []string) {
			fmt.Fprint(conn, "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"+rawAnswer(id, ""))
		},
		"body after 204": func(conn net.Conn, id string, _ []string) {
			fmt.Fprintf(conn, "HTTP/1.1 204 No Content\r\n%s: %s\r\n%s: %s\r\n\r\nsurplus",
				platformtest.HeaderRequestID, id, platformtest.HeaderReceipt, generalupstream.Seal(id))
		},
		"surplus after 421": func(conn net.Conn, id string, before []string) {
			if len(before) == 0 {
				fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n%s",
					platformtest.HeaderRequestID, id, rawAnswer(id, ""))
				return
			}
			fmt.Fprint(conn, rawAnswer(id, ""))
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := start(t, 1, nil)
			address := scripted(t, script)
			w.store.Put(platform.KindUpstream, w.upstreams[0].Instance,
				platformtest.Registration("calls", address, platformtest.Ready, platformtest.Fields{"born": 1700000000001}))
			w.eventually("moved", func() bool {
				before := len(w.upstreams[0].Arrivals())
				w.status("/safe/x")
				return len(w.upstreams[0].Arrivals()) == before
			})
			served := 0
			for i := range 30 {
				id := name + strconv.Itoa(i)
				got := w.do(call{path: "/unsafe/x", id: id})
				switch {
				case got.err != nil || got.status != http.StatusOK && got.status != http.StatusNoContent:
				case got.header.Get(platformtest.HeaderReceipt) != generalupstream.Seal(id):
					t.Fatalf("%s got the answer sealed %q", id, got.header.Get(platformtest.HeaderReceipt))
				case got.status == http.StatusOK && got.body != generalupstream.Answer(id):
					t.Fatalf("%s got %q", id, got.body)
				default:
					served++
				}
				time.Sleep(time.Duration(i%4) * 2 * time.Millisecond)
			}
			if served == 0 && name != "surplus after 421" {
				t.Error("nothing was served")
			}
		})
	}
}
