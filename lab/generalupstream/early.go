package generalupstream

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/trefoilwell/trefoilwell/platform/platformtest"
)

// answersBeforeBody injects the faults of answers before the body is read, and reports whether there
// was one.
func (u *Upstream) answersBeforeBody(w http.ResponseWriter, r *http.Request, id string) bool {
	u.mu.Lock()
	early, cut, badStatus, status := consume(&u.faults.AnswerEarly), false, false, u.faults.Status
	if !early {
		cut = consume(&u.faults.CutEarly)
	}
	if !early && !cut {
		badStatus = consume(&u.faults.BadStatus)
	}
	u.mu.Unlock()
	switch {
	case early:
		u.answerEarly(w, r, id)
	case cut:
		writePart(w, "200 OK", id, strings.Contains(r.URL.Path, StreamPath), true)
	case badStatus:
		// The body has to be read, else the kernel resets the connection.
		_, _ = io.Copy(io.Discard, r.Body)
		writePart(w, fmt.Sprintf("%03d Odd", status), id, strings.Contains(r.URL.Path, StreamPath), false)
	}
	return early || cut || badStatus
}

// partDelay is the time between a part of an answer and the reset of its connection.
const partDelay = 20 * time.Millisecond

// writePart writes an answer without a length, and resets its connection if that is asked for.
func writePart(w http.ResponseWriter, status, id string, stream, reset bool) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer closeConn(conn)
	contentType, text := "text/plain", Answer(id)
	if stream {
		contentType, text = "text/event-stream", Event(1)
	}
	fmt.Fprintf(buffered, "HTTP/1.1 %s\r\n%s: %s\r\n%s: %s\r\nContent-Type: %s\r\nConnection: close\r\n\r\n%s",
		status, platformtest.HeaderRequestID, id, platformtest.HeaderReceipt, Receipt(id), contentType, text)
	_ = buffered.Flush()
	if tcp, ok := conn.(*net.TCPConn); ok && reset {
		time.Sleep(partDelay)
		_ = tcp.SetLinger(0)
	}
}

// earlyReadDelay is the time between an early answer and the reading of the body.
const earlyReadDelay = 50 * time.Millisecond

// answerEarly answers, waits for earlyReadDelay and then reads the body. The execution
// is recorded with the bytes of the body that arrived.
func (u *Upstream) answerEarly(w http.ResponseWriter, r *http.Request, id string) {
	control := http.NewResponseController(w)
	if err := control.EnableFullDuplex(); err != nil {
		panic(err)
	}
	w.Header().Set(platformtest.HeaderRequestID, id)
	w.Header().Set(platformtest.HeaderReceipt, Receipt(id))
	w.Header().Set("Content-Length", strconv.Itoa(len(Answer(id))))
	_, _ = io.WriteString(w, Answer(id))
	_ = control.Flush()
	time.Sleep(earlyReadDelay)
	// If the connection is closed here, the body ends early, which is no error.
	body, _ := io.ReadAll(r.Body)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs = append(u.runs, Run{ID: id, Method: r.Method, URI: r.RequestURI, Host: r.Host, Body: string(body)})
}
