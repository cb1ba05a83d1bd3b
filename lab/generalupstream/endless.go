package generalupstream

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/trefoilwell/trefoilwell/platform/platformtest"
)

const (
	// endlessBurst is the number of kilobytes of an endless answer that come at once.
	endlessBurst = 1000
	endlessPause = 100 * time.Millisecond
)

// BeginsEndless reports whether text is the begin of an answer without end to a request identifier,
// which repeats the answer.
func BeginsEndless(id, text string) bool {
	return strings.HasPrefix(strings.Repeat(Answer(id), len(text)/len(Answer(id))+1), text)
}

// writeEndless writes the begin of a body and goes on with lines until the caller disconnects.
func (u *Upstream) writeEndless(w http.ResponseWriter, r *http.Request, begin, line string) {
	control := http.NewResponseController(w)
	_, err := io.WriteString(w, begin)
	for n := 0; err == nil; n++ {
		if n >= endlessBurst {
			if err := control.Flush(); err != nil || !u.sleep(r, endlessPause) {
				return
			}
		}
		_, err = io.WriteString(w, line)
	}
}

// writeEndlessHead writes header lines until the caller disconnects.
func writeEndlessHead(w http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n", platformtest.HeaderRequestID, id)
	line := "X-More: " + strings.Repeat("x", 1000) + "\r\n"
	for n := 0; err == nil; n++ {
		if n >= endlessBurst {
			time.Sleep(endlessPause)
		}
		_, err = io.WriteString(conn, line)
	}
}
