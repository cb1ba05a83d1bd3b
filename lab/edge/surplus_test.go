package edge

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/lab/generalupstream"
	"github.com/trefoilwell/trefoilwell/platform"
	"github.com/trefoilwell/trefoilwell/platform/platformtest"
)

// rawAnswer returns the bytes of an answer to a request identifier, with additional header
// lines.
func rawAnswer(id, headers string) string {
	text := generalupstream.Answer(id)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		platformtest.HeaderRequestID, id, platformtest.HeaderReceipt, generalupstream.Receipt(id), headers, len(text), text)
}

// startScripted starts an upstream on a loopback port and returns its host:port. It calls
// script for each request of a connection, with the identifiers of the earlier requests on
// that connection.
func startScripted(t *testing.T, script func(conn net.Conn, id string, earlier []string)) string {
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
				var earlier []string
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					id := request.Header.Get(platformtest.HeaderRequestID)
					script(conn, id, earlier)
					earlier = append(earlier, id)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against an answer that reaches the wrong caller because its upstream sent more
// bytes than one answer per request. An operator of a similar system saw a second, late
// copy of an answer on a reused connection, which the next caller got as its own answer.
func TestSurplusBytesAfterAnAnswerReachNoCaller(t *testing.T) {
	for name, script := range map[string]func(conn net.Conn, id string, earlier []string){
		"copy before the next answer": func(conn net.Conn, id string, earlier []string) {
			if len(earlier) > 0 {
				fmt.Fprint(conn, rawAnswer(earlier[len(earlier)-1], ""))
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
				platformtest.HeaderRequestID, id, platformtest.HeaderReceipt, generalupstream.Receipt(id))
		},
		"surplus after 421": func(conn net.Conn, id string, earlier []string) {
			if len(earlier) == 0 {
				fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n%s",
					platformtest.HeaderRequestID, id, rawAnswer(id, ""))
				return
			}
			fmt.Fprint(conn, rawAnswer(id, ""))
		},
	} {
		t.Run(name, func(t *testing.T) {
			env := start(t, 1, nil)
			var reached atomic.Int64
			address := startScripted(t, func(conn net.Conn, id string, earlier []string) {
				reached.Add(1)
				script(conn, id, earlier)
			})
			env.store.Put(platform.KindUpstream, env.upstreams[0].Instance,
				platformtest.Registration("calls", address, platformtest.StateReady, platformtest.Fields{"born": 1700000000001}))
			env.eventually("requests go to the scripted upstream", func() bool {
				// A request that no upstream got says nothing.
				before := reached.Load()
				env.status("/safe/x")
				return reached.Load() > before
			})
			served := 0
			for i := range 30 {
				id := name + strconv.Itoa(i)
				got := env.do(call{path: "/unsafe/x", id: id})
				switch {
				case got.err != nil || got.status != http.StatusOK && got.status != http.StatusNoContent:
				case got.header.Get(platformtest.HeaderReceipt) != generalupstream.Receipt(id):
					t.Fatalf("request %s got an answer with the receipt %q", id, got.header.Get(platformtest.HeaderReceipt))
				case got.status == http.StatusOK && got.body != generalupstream.Answer(id):
					t.Fatalf("request %s got the body %q", id, got.body)
				default:
					served++
				}
				time.Sleep(time.Duration(i%4) * 2 * time.Millisecond)
			}
			if served == 0 && name != "surplus after 421" {
				t.Error("none of 30 requests was served")
			}
		})
	}
}
