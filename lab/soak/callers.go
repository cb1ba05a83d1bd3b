package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwell/trefoilwell/lab/generalupstream"
	"github.com/trefoilwell/trefoilwell/platform/platformtest"
)

// routeKinds are the first path segments of the routes that callers use.
var routeKinds = []string{"safe", "unsafe", "stream", "resume-stream"}

const (
	// maxCallPause is the longest pause between two requests of a caller.
	maxCallPause = 30 * time.Millisecond
	// callTimeout is how long a caller waits for an answer. callDeadline is the
	// deadline that it gives in the request.
	callTimeout  = 4 * time.Second
	callDeadline = 3 * time.Second
	// deadlyDivisor is the reciprocal of the fraction of the prompts that have a deadly
	// segment while there is one.
	deadlyDivisor = 8
	// rareSegments is the number of segments of which each sound prompt has one.
	rareSegments = 40
)

// call is one request of a caller and its answer.
type call struct {
	id   string
	kind string
	vm   int
	// incarnation and incarnationAfter number the VM's process before and after
	// the request. They differ if it was restarted meanwhile.
	incarnation, incarnationAfter int
	// deadly is what makes it crash upstreams, a segment of its prompt or its body; empty if it is
	// sound.
	deadly string
	// resumes is the call that brought the first event of the stream that this one takes up, and
	// prefix what its caller has of the stream; empty if it takes up none.
	resumes, prefix string
	// keyVersion is the configuration version that introduced the API key.
	keyVersion     int
	sentAt, doneAt time.Time
	// status is the HTTP status, or 0 without an answer.
	status int
	// receipt is the upstream's receipt in the header platformtest.HeaderReceipt.
	receipt string
	body    string
	// complete is set if the answer was received completely.
	complete bool
	// drainAdvice is set if the answer carried the upstream's drain advice.
	drainAdvice bool
	// limited is set if the answer named a rate limit of the upstream.
	limited bool
}

// callLog records the calls of all callers. It is safe for concurrent use.
type callLog struct {
	mu    sync.Mutex
	calls []call
}

func (l *callLog) add(c call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, c)
}

func (l *callLog) all() []call {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]call(nil), l.calls...)
}

// runCaller sends requests over persistent connections to random VMs until ctx
// ends. Some of the requests use an older key, which may be revoked.
func (f *fleet) runCaller(ctx context.Context, l *callLog, caller int, random *rand.Rand) {
	client := &http.Client{
		Transport: &http.Transport{DisableCompression: true},
		Timeout:   callTimeout,
	}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		c := call{
			id:         fmt.Sprintf("c%d-%d", caller, n),
			kind:       routeKinds[random.IntN(len(routeKinds))],
			vm:         random.IntN(len(f.daemons)),
			keyVersion: f.newestVersion(),
		}
		switch random.IntN(10) {
		case 0:
			c.keyVersion = max(c.keyVersion-1, 1)
		case 1:
			c.keyVersion = max(c.keyVersion-2-random.IntN(2), 0)
		case 2:
			if n%2 == 0 {
				c.keyVersion = unheldVersion
			}
		}
		if deadly := f.deadlyCauses(); len(deadly) > 0 && random.IntN(deadlyDivisor) == 0 {
			c.makeDeadly(deadly[random.IntN(len(deadly))])
		}
		f.call(client, l, &c)
		if c.mayBeTakenUp() && random.IntN(takeUpDivisor) > 0 {
			next := call{
				id: c.id + "-again", kind: c.kind, vm: random.IntN(len(f.daemons)), deadly: c.deadly, keyVersion: c.keyVersion,
				resumes: c.id, prefix: wholeEvents(c.body),
			}
			f.call(client, l, &next)
		}
		time.Sleep(time.Duration(random.Int64N(int64(maxCallPause))))
	}
}

// unheldVersion is a version whose key no configuration has held. It counts as revoked by the first
// one.
const unheldVersion = -1

// call sends a request and records the answer.
func (f *fleet) call(client *http.Client, l *callLog, c *call) {
	d := f.daemons[c.vm]
	c.incarnation = d.currentIncarnation()
	c.sentAt = time.Now()
	f.send(client, d, c)
	c.doneAt, c.incarnationAfter = time.Now(), d.currentIncarnation()
	l.add(*c)
}

// takeUpDivisor is the reciprocal of the fraction of the broken streams that callers give up.
const takeUpDivisor = 5

// mayBeTakenUp reports whether a caller may ask for the rest of the call's stream.
func (c call) mayBeTakenUp() bool {
	return c.kind == "resume-stream" && c.status == http.StatusOK && !c.complete && wholeEvents(c.body) != ""
}

// wholeEvents returns the part of a stream up to the end of its last whole event.
func wholeEvents(body string) string {
	const end = "\n\n"
	return body[:strings.LastIndex(body, end)+len(end)*min(strings.Count(body, end), 1)]
}

// deadlyBodyPrefix begins the bodies that crash upstreams.
const deadlyBodyPrefix = "deadly body "

// isDeadlyBody reports whether a cause of crashes is a request's body, and not a segment.
func isDeadlyBody(cause string) bool { return strings.HasPrefix(cause, deadlyBodyPrefix) }

// makeDeadly makes the call one that crashes upstreams. With a body, it is the same request each
// time, so that its path is the same too. A segment needs a prompt.
func (c *call) makeDeadly(cause string) {
	if isDeadlyBody(cause) {
		c.kind = routeKinds[xxhash.Sum64String(cause)%uint64(len(routeKinds))]
	}
	if isDeadlyBody(cause) || c.prompted() {
		c.deadly = cause
	}
}

// requestBody returns the body of the call's request.
func (c call) requestBody() string {
	if isDeadlyBody(c.deadly) {
		return c.deadly
	}
	if c.resumes != "" {
		return "body of " + c.resumes
	}
	return "body of " + c.id
}

// send sends a request through the callers' proxy of a daemon and records the answer
// in c.
func (f *fleet) send(client *http.Client, d *daemon, c *call) {
	// The client must not retry by itself. It cannot if the body cannot be reread.
	body := io.NopCloser(strings.NewReader(c.requestBody()))
	request, err := http.NewRequest(http.MethodPost, "http://"+d.callersProxy.Address()+"/"+c.kind+"/x", body)
	if err != nil {
		panic(err)
	}
	request.ContentLength = int64(len(c.requestBody()))
	request.Host = host
	request.Header.Set(platformtest.HeaderRequestID, c.id)
	request.Header.Set(platformtest.HeaderKey, apiKeyOf(c.keyVersion))
	request.Header.Set(platformtest.HeaderDeadline, fmt.Sprint(callDeadline.Milliseconds()))
	if c.resumes != "" {
		request.Header.Set(platformtest.HeaderResumes, c.resumes)
		request.Header.Set(platformtest.HeaderLastEvent, strconv.Itoa(strings.Count(c.prefix, "id: ")))
	}
	if c.prompted() {
		request.Header.Set(platformtest.HeaderTokens, "400,20")
		request.Header.Set(platformtest.HeaderPromptSegments, c.promptSegments())
	}
	answer, err := client.Do(request)
	if err != nil {
		return
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	c.limited = answer.Header.Get(platformtest.HeaderLimit) != ""
	c.drainAdvice = answer.Header.Get(platformtest.HeaderLeaving) == "1"
	c.status, c.receipt, c.body, c.complete = answer.StatusCode, answer.Header.Get(platformtest.HeaderReceipt), string(text), err == nil
}

// prompted reports whether the call has a prompt.
func (c call) prompted() bool { return strings.Contains(c.kind, generalupstream.StreamPath) }

// promptSegments returns the prompt of the call: a segment that all calls have, one that few
// others have, perhaps a deadly one, and one of its own.
func (c call) promptSegments() string {
	own := xxhash.Sum64String(c.requestBody())
	segments := []string{"c0:100", fmt.Sprintf("%x:100", 0x5000+own%rareSegments)}
	if c.deadly != "" && !isDeadlyBody(c.deadly) {
		segments = append(segments, c.deadly+":100")
	}
	return strings.Join(append(segments, fmt.Sprintf("%x:100", own|1<<63)), ",")
}

// wantBodies returns the complete bodies of which an upstream's answer to a call may be one: with a
// stream, those of each software version that fits what its caller has.
func (c call) wantBodies() []string {
	if !strings.Contains(c.kind, generalupstream.StreamPath) {
		return []string{generalupstream.Answer(c.id)}
	}
	var bodies []string
	for _, software := range softwareVersions {
		if rest, fits := strings.CutPrefix(generalupstream.StreamOf(software), c.prefix); fits {
			bodies = append(bodies, rest)
		}
	}
	return bodies
}

// served reports whether the call got a complete answer with status 200.
func (c call) served() bool { return c.complete && c.status == http.StatusOK }
