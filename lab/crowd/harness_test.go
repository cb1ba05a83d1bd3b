package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	// crowdSize is more than a daemon with maxFDs descriptors can hold at once.
	crowdSize = 400
	// memoryMB and maxFDs are the daemons' own limits, in MB and descriptors.
	memoryMB = 56
	maxFDs   = 300
	// bodyBytes is the limit on callers' bodies.
	bodyBytes = 1 << 20
	// holdTime is how long a crowd stays once it has sent everything.
	holdTime = 300 * time.Millisecond
	// begunTimeout bounds the wait until the crowd has sent everything.
	begunTimeout = 15 * time.Second
	// answerTimeout bounds the wait for an ordinary request's answer, with its repeats, and
	// attemptTimeout each of them. Both are long, as times are not checked.
	answerTimeout  = 10 * time.Second
	attemptTimeout = 5 * time.Second
	// repeatPause is the time after which an ordinary caller that was refused tries again.
	repeatPause = 50 * time.Millisecond
)

// process is a daemon under test.
type process struct {
	pid int
	// running reports whether it has not ended.
	running func() bool
}

// ordinary is a request of an ordinary client, which has to be answered.
type ordinary struct {
	// address is where it is sent, and text its head.
	address, text string
	// status is the status of its answer.
	status int
}

// endure sends a crowd to a process and checks that the process lives within its limits, and that
// ordinary requests are answered while the crowd is there.
func endure(t *testing.T, p process, form Form, target Target, requests []ordinary) {
	t.Helper()
	watch := watchDescriptors(p.pid)
	crowd := Start(t.Context(), form, target, crowdSize)
	defer crowd.Stop()
	for deadline := time.Now().Add(begunTimeout); crowd.Begun() < crowdSize && p.running() && time.Now().Before(deadline); {
		time.Sleep(repeatPause)
	}
	time.Sleep(holdTime)
	for _, request := range requests {
		if err := request.await(p); err != nil {
			t.Errorf("an ordinary request to %s got no answer: %v", request.address, err)
		}
	}
	if !p.running() {
		t.Fatal("the process has ended")
	}
	descriptors := watch()
	peak, err := peakMemory(p.pid)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("peak memory %.1f MB, descriptors %d", float64(peak)/(1<<20), descriptors)
	if peak > memoryMB<<20 {
		t.Errorf("the process took %.1f MB of memory, it may take %d", float64(peak)/(1<<20), memoryMB)
	}
	if descriptors > maxFDs {
		t.Errorf("the process had %d descriptors open, it may have %d", descriptors, maxFDs)
	}
}

// await sends a request until it gets its answer.
func (o ordinary) await(p process) error {
	var err error
	for deadline := time.Now().Add(answerTimeout); p.running() && time.Now().Before(deadline); time.Sleep(repeatPause) {
		if err = o.send(); err == nil {
			return nil
		}
	}
	return err
}

// send sends a request once.
func (o ordinary) send() error {
	conn, err := net.DialTimeout("tcp", o.address, attemptTimeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(attemptTimeout))
	if _, err := io.WriteString(conn, o.text); err != nil {
		return err
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err == nil && answer.StatusCode != o.status {
		err = fmt.Errorf("status %d, body %q", answer.StatusCode, body)
	}
	return err
}

// watchDescriptors watches the open descriptors of a process until the function that it returns is
// called, which returns the highest number of them.
func watchDescriptors(pid int) func() int {
	stop, highest := make(chan struct{}), make(chan int)
	go func() {
		most := 0
		for {
			// An error means that the process has ended.
			entries, _ := os.ReadDir("/proc/" + strconv.Itoa(pid) + "/fd")
			most = max(most, len(entries))
			select {
			case <-stop:
				highest <- most
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	return func() int {
		close(stop)
		return <-highest
	}
}

// peakMemory returns the highest resident memory of a process since its start, in bytes.
func peakMemory(pid int) (int64, error) {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if rest, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			return kilobytes << 10, err
		}
	}
	return 0, fmt.Errorf("no VmHWM in the status of process %d", pid)
}

// request returns the text of a request with a body.
func request(method, host, path, header, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%sContent-Length: %d\r\n\r\n%s", method, path, host, header, len(body), body)
}
