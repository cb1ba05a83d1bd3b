package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

var nextAttempt atomic.Uint64

func newAttemptID() string { return fmt.Sprintf("a%015x", nextAttempt.Add(1)) }

// eventSeen is one event that a client got.
type eventSeen struct {
	id      int
	version string
	server  string
}

// tried is the outcome of one client attempt.
type tried struct {
	id       string
	status   int
	seal     string
	complete bool
	failure  error
	// kept is set if the channel had served a request before, and left if the client gave up.
	kept, left bool
	events     []eventSeen
	body       int
	answered   time.Duration
	took       time.Duration
}

// call describes a client attempt.
type call struct {
	front, host, path, key, prompt string
	body                           string
	deadline                       time.Duration
	lastEvent                      int
	resumes                        string
	// patience is the longest gap before the next event after which the client leaves; 0 is none.
	patience time.Duration
	// transport holds the client's channel; nil opens a new one.
	transport *http.Transport
}

// do makes one client attempt on a new channel.
func (c call) do() (t tried) {
	t.id = newAttemptID()
	started := time.Now()
	defer func() { t.took = time.Since(started) }()
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.front+c.path, strings.NewReader(c.body))
	if err != nil {
		t.failure = err
		return t
	}
	request.Host = c.host
	request.Header.Set("X-Attempt-Id", t.id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(c.deadline.Milliseconds(), 10))
	request.Header.Set("X-Credential", c.key)
	if c.prompt != "" {
		request.Header.Set("X-Model", "m")
		request.Header.Set("X-Token-Count", "600,60")
		request.Header.Set("X-Prompt-Prefix", c.prompt)
	}
	request.Header.Set("User-Agent", "client")
	if c.lastEvent > 0 {
		request.Header.Set("Last-Event-Id", strconv.Itoa(c.lastEvent))
		request.Header.Set("Resumes", c.resumes)
	}
	transport := c.transport
	if transport == nil {
		transport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	}
	request = request.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { t.kept = info.Reused },
	}))
	// The transport must not send a request twice by itself.
	request.GetBody = nil
	gap := time.AfterFunc(c.deadline, cancel)
	defer gap.Stop()
	defer func() { t.left = ctx.Err() != nil }()
	if c.patience > 0 {
		gap.Reset(c.patience)
	}
	answer, err := transport.RoundTrip(request)
	if err != nil {
		t.failure = err
		return t
	}
	defer answer.Body.Close()
	t.status, t.seal, t.answered = answer.StatusCode, answer.Header.Get("X-Server-Seal"), time.Since(started)
	if !strings.HasPrefix(answer.Header.Get("Content-Type"), "text/event-stream") {
		text, err := io.ReadAll(answer.Body)
		t.body, t.complete, t.failure = len(text), err == nil, err
		return t
	}
	reader, current := bufio.NewReader(answer.Body), eventSeen{}
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			t.complete, t.failure = err == io.EOF && line == "" && current == eventSeen{}, err
			return t
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case strings.HasPrefix(line, "id: "):
			current.id, _ = strconv.Atoi(line[len("id: "):])
		case strings.HasPrefix(line, "data: "):
			fields := strings.Fields(line[len("data: "):])
			if len(fields) > 1 {
				current.version, current.server = fields[0], fields[1]
			}
		case line == "" && current.id > 0:
			if c.patience > 0 {
				gap.Reset(c.patience)
			}
			t.events = append(t.events, current)
			current = eventSeen{}
		}
	}
}
