package generalupstream

import (
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// endlessBurst is the number of kilobytes of an endless event that come at once.
	endlessBurst = 1000
	endlessPause = 100 * time.Millisecond
)

// streamEndless begins an event and goes on with it until the caller disconnects.
func (u *Upstream) streamEndless(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	line := "data: " + strings.Repeat("x", 1000) + "\n"
	_, err := io.WriteString(w, "id: 1\n")
	for n := 0; err == nil; n++ {
		if n >= endlessBurst {
			if err := control.Flush(); err != nil || !u.sleep(r, endlessPause) {
				return
			}
		}
		_, err = io.WriteString(w, line)
	}
}
