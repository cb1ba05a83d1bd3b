package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// MaxValueBytes bounds an object's value.
	MaxValueBytes = 1 << 20
	// watchWait is how long the platform may hold a watch open.
	watchWait = 20 * time.Second
	// callTimeout bounds any other call.
	callTimeout = 5 * time.Second
)

// Options set up a Client.
type Options struct {
	// URL is the base URL of the platform's API.
	URL string
	// Token is sent as a bearer token if it is not empty.
	Token string
	// Transport carries the calls; default http.DefaultTransport.
	Transport http.RoundTripper
}

// Client implements Store and Directory over HTTP.
type Client struct {
	options Options
	http    *http.Client
}

var (
	_ Store     = (*Client)(nil)
	_ Directory = (*Client)(nil)
)

// New returns a client.
func New(options Options) *Client {
	options.URL = strings.TrimSuffix(options.URL, "/")
	return &Client{options: options, http: &http.Client{Transport: options.Transport}}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.read(ctx, key, nil)
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, key string, known ObjectVersion) (Object, error) {
	for {
		object, err := c.watchOnce(ctx, key, known)
		if !errors.Is(err, errUnchanged) {
			return object, err
		}
	}
}

// errUnchanged is a watch that ended without a change.
var errUnchanged = errors.New("object unchanged")

func (c *Client) watchOnce(ctx context.Context, key string, known ObjectVersion) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
	defer cancel()
	header := http.Header{}
	header.Set("If-None-Match", etag(known))
	header.Set("Prefer", "wait="+strconv.Itoa(int(watchWait.Seconds())))
	return c.read(ctx, key, header)
}

func (c *Client) read(ctx context.Context, key string, header http.Header) (Object, error) {
	response, body, err := c.call(ctx, http.MethodGet, c.objectURL(key), header, nil)
	if err != nil {
		return Object{}, err
	}
	version, err := parseETag(response.Header.Get("ETag"))
	if err != nil {
		return Object{}, err
	}
	return Object{Key: key, Version: version, Value: body}, nil
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, expected ObjectVersion) (ObjectVersion, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, _, err := c.call(ctx, http.MethodPut, c.objectURL(key), precondition(expected), value)
	if err != nil {
		return 0, err
	}
	return parseETag(response.Header.Get("ETag"))
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expected ObjectVersion) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, _, err := c.call(ctx, http.MethodDelete, c.objectURL(key), precondition(expected), nil)
	return err
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	target := c.options.URL + "/v1/objects?prefix=" + url.QueryEscape(prefix)
	var keys []string
	return keys, c.readJSON(ctx, target, &keys)
}

// VMs implements Directory.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var vms []VM
	return vms, c.readJSON(ctx, c.options.URL+"/v1/vms", &vms)
}

func (c *Client) readJSON(ctx context.Context, target string, into any) error {
	_, body, err := c.call(ctx, http.MethodGet, target, nil, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, into); err != nil {
		return errors.Mark(errors.Wrap(err, "decode answer"), ErrUnavailable)
	}
	return nil
}

func (c *Client) call(ctx context.Context, method, target string, header http.Header, body []byte) (*http.Response, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, nil, errors.Wrap(err, "build request")
	}
	// Without GetBody the transport cannot send a write a second time.
	request.GetBody = nil
	for name, values := range header {
		request.Header[name] = values
	}
	if c.options.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.options.Token)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, nil, errors.Mark(err, ErrUnavailable)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, MaxValueBytes+1))
	if err != nil {
		return nil, nil, errors.Mark(err, ErrUnavailable)
	}
	if len(answer) > MaxValueBytes {
		return nil, nil, errors.Wrap(ErrRejected, "answer too large")
	}
	return response, answer, statusError(response.StatusCode)
}

func statusError(status int) error {
	switch {
	case status == http.StatusNotModified:
		return errUnchanged
	case status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusPreconditionFailed:
		return ErrConflict
	case status == http.StatusTooManyRequests:
		return ErrRateLimited
	case status >= http.StatusInternalServerError:
		return errors.Wrapf(ErrUnavailable, "status %d", status)
	default:
		return errors.Wrapf(ErrRejected, "status %d", status)
	}
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
