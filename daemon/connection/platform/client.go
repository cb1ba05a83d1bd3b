package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
)

const (
	// MaxValueBytes bounds an object's value.
	MaxValueBytes = 1 << 20
	// DefaultCallsPerSecond and DefaultCallsBurst are a process's budget of
	// calls if Options give none.
	DefaultCallsPerSecond = 50.0
	DefaultCallsBurst     = 100
	// watchWait is how long the platform may hold a watch open.
	watchWait = 20 * time.Second
	// callTimeout bounds one attempt of any other call.
	callTimeout = 3 * time.Second
)

// Call names a kind of call to the platform.
type Call string

const (
	// CallGet reads an object.
	CallGet Call = "get"
	// CallWatch waits for an object to change.
	CallWatch Call = "watch"
	// CallPut writes an object.
	CallPut Call = "put"
	// CallDelete removes an object.
	CallDelete Call = "delete"
	// CallList lists keys.
	CallList Call = "list"
	// CallVMs reads the list of VMs.
	CallVMs Call = "vms"
)

// Options set up a Client.
type Options struct {
	// URL is the base URL of the platform's API.
	URL string
	// Token is sent as a bearer token if it is not empty.
	Token string
	// Transport carries the calls; default one with its own connections.
	Transport http.RoundTripper
	// CallsPerSecond and CallsBurst bound the calls of this process, attempts
	// and watches included; default DefaultCallsPerSecond and
	// DefaultCallsBurst.
	CallsPerSecond float64
	CallsBurst     int
	// Retry paces the attempts of calls that may be repeated; default
	// DefaultRetry.
	Retry Retry
	// Observe is told the outcome of each attempt; default nothing. It must
	// not block. An answer of the platform that is not a failure of its own,
	// such as ErrNotFound and ErrConflict, counts as nil.
	Observe func(call Call, err error)
}

// Client implements Store and Directory over HTTP. It is safe for concurrent
// use, and one Client should be shared by a process, so that its calls stay
// within one budget.
//
// Reads are attempted again while the platform is unavailable. A write is
// attempted again only after a refusal that promises no effect; see Settle for
// writes whose answer was lost.
type Client struct {
	options Options
	http    *http.Client
	budget  *rate.Limiter
}

var (
	_ Store     = (*Client)(nil)
	_ Directory = (*Client)(nil)
)

// New returns a client.
func New(options Options) *Client {
	options.URL = strings.TrimSuffix(options.URL, "/")
	if options.Transport == nil {
		options.Transport = NewTransport(nil)
	}
	if options.CallsPerSecond <= 0 {
		options.CallsPerSecond = DefaultCallsPerSecond
	}
	if options.CallsBurst <= 0 {
		options.CallsBurst = DefaultCallsBurst
	}
	if options.Retry == (Retry{}) {
		options.Retry = DefaultRetry
	}
	if options.Observe == nil {
		options.Observe = func(Call, error) {}
	}
	return &Client{
		options: options,
		http: &http.Client{
			Transport: options.Transport,
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			},
		},
		budget: rate.NewLimiter(rate.Limit(options.CallsPerSecond), options.CallsBurst),
	}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	var object Object
	err := c.options.Retry.do(ctx, transient, func() error {
		var err error
		object, err = c.read(ctx, CallGet, key, nil, callTimeout)
		return err
	})
	return object, err
}

// Watch implements Store. It goes on through outages of the platform until ctx
// ends.
func (c *Client) Watch(ctx context.Context, key string, known ObjectVersion) (Object, error) {
	header := http.Header{}
	header.Set("If-None-Match", etag(known))
	header.Set("Prefer", "wait="+strconv.Itoa(int(watchWait.Seconds())))
	pauses := c.options.Retry.pauses()
	for {
		object, err := c.read(ctx, CallWatch, key, header, watchWait+callTimeout)
		switch {
		case errors.Is(err, errUnchanged):
			pauses = c.options.Retry.pauses()
		case !transient(err):
			return object, err
		default:
			if err := wait.Sleep(ctx, pauses.after(err)); err != nil {
				return Object{}, err
			}
		}
	}
}

// errUnchanged is a watch that ended without a change.
var errUnchanged = errors.New("object unchanged")

func (c *Client) read(ctx context.Context, call Call, key string, header http.Header, timeout time.Duration) (Object, error) {
	answer, err := c.attempt(ctx, attempt{
		call:    call,
		method:  http.MethodGet,
		target:  c.objectURL(key),
		header:  header,
		timeout: timeout,
	})
	if err != nil {
		return Object{}, err
	}
	version, err := parseETag(answer.header.Get("ETag"))
	if err != nil {
		return Object{}, err
	}
	return Object{Key: key, Version: version, Value: answer.body}, nil
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, expected ObjectVersion) (ObjectVersion, error) {
	if len(value) > MaxValueBytes {
		return 0, errors.Wrapf(ErrRejected, "the value of %q has %d bytes, the limit is %d", key, len(value), MaxValueBytes)
	}
	var written ObjectVersion
	err := c.options.Retry.do(ctx, withoutEffect, func() error {
		answer, err := c.attempt(ctx, attempt{
			call:    CallPut,
			method:  http.MethodPut,
			target:  c.objectURL(key),
			header:  precondition(expected),
			body:    value,
			timeout: callTimeout,
		})
		if err != nil {
			return err
		}
		written, err = parseETag(answer.header.Get("ETag"))
		return err
	})
	return written, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expected ObjectVersion) error {
	return c.options.Retry.do(ctx, withoutEffect, func() error {
		_, err := c.attempt(ctx, attempt{
			call:    CallDelete,
			method:  http.MethodDelete,
			target:  c.objectURL(key),
			header:  precondition(expected),
			timeout: callTimeout,
		})
		return err
	})
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]string, error) {
	var keys []string
	target := c.options.URL + "/v1/objects?prefix=" + url.QueryEscape(prefix)
	return keys, c.readJSON(ctx, CallList, target, &keys)
}

// VMs implements Directory.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var vms []VM
	return vms, c.readJSON(ctx, CallVMs, c.options.URL+"/v1/vms", &vms)
}

func (c *Client) readJSON(ctx context.Context, call Call, target string, into any) error {
	return c.options.Retry.do(ctx, transient, func() error {
		answer, err := c.attempt(ctx, attempt{call: call, method: http.MethodGet, target: target, timeout: callTimeout})
		if err != nil {
			return err
		}
		if err := json.Unmarshal(answer.body, into); err != nil {
			return errors.Mark(errors.Wrap(err, "decode answer"), ErrUnavailable)
		}
		return nil
	})
}

func (c *Client) objectURL(key string) string {
	return c.options.URL + "/v1/objects/" + url.PathEscape(key)
}

func precondition(expected ObjectVersion) http.Header {
	header := http.Header{}
	if expected == 0 {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", etag(expected))
	}
	return header
}

func etag(version ObjectVersion) string {
	return `"` + strconv.FormatUint(uint64(version), 10) + `"`
}

func parseETag(tag string) (ObjectVersion, error) {
	n, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	if err != nil {
		return 0, errors.Mark(errors.Wrapf(err, "bad ETag %q", tag), ErrUnavailable)
	}
	return ObjectVersion(n), nil
}
