package platform

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// connectTimeout bounds the opening of a connection.
	connectTimeout = 2 * time.Second
	// idleConnections bounds the connections kept open between calls.
	idleConnections = 16
	// idleTimeout closes a connection that was not used for so long.
	idleTimeout = 90 * time.Second
	// maxRetryAfter bounds the pause that the platform may ask for.
	maxRetryAfter = 30 * time.Second
)

// NewTransport returns a transport for the platform's API; settings may be nil.
func NewTransport(settings *tls.Config) *http.Transport {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		TLSClientConfig:     settings,
		TLSHandshakeTimeout: connectTimeout,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// attempt is one call over the network.
type attempt struct {
	call    Call
	method  string
	target  string
	header  http.Header
	body    []byte
	timeout time.Duration
}

// answer is what the platform sent.
type answer struct {
	header http.Header
	body   []byte
}

// attempt makes one call within the budget and reports its outcome.
func (c *Client) attempt(ctx context.Context, a attempt) (answer, error) {
	if err := c.budget.Wait(ctx); err != nil {
		if ctx.Err() != nil {
			return answer{}, ctx.Err()
		}
		return answer{}, errors.Mark(errors.Wrap(err, "budget of platform calls"), ErrRateLimited)
	}
	got, err := c.send(ctx, a)
	if ctx.Err() == nil {
		c.options.Observe(a.call, failure(err))
	}
	return got, err
}

func (c *Client) send(ctx context.Context, a attempt) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, a.method, a.target, bytes.NewReader(a.body))
	if err != nil {
		return answer{}, errors.Mark(errors.Wrap(err, "build request"), ErrRejected)
	}
	// Without GetBody the transport cannot send a write a second time.
	request.GetBody = nil
	for name, values := range a.header {
		request.Header[name] = values
	}
	if c.options.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.options.Token)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return answer{}, errors.Mark(err, ErrUnavailable)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxValueBytes+1))
	if err != nil {
		return answer{}, errors.Mark(err, ErrUnavailable)
	}
	if len(body) > MaxValueBytes {
		return answer{}, errors.Wrap(ErrRejected, "answer too large")
	}
	return answer{header: response.Header, body: body}, statusError(response)
}

func statusError(response *http.Response) error {
	status := response.StatusCode
	switch {
	case status == http.StatusNotModified:
		return errUnchanged
	case status >= http.StatusOK && status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusPreconditionFailed:
		return ErrConflict
	case status == http.StatusTooManyRequests:
		return &rateLimited{after: retryAfter(response.Header)}
	case status >= http.StatusInternalServerError:
		return errors.Wrapf(ErrUnavailable, "status %d", status)
	default:
		return errors.Wrapf(ErrRejected, "status %d", status)
	}
}

// rateLimited is ErrRateLimited with the pause that the platform asked for.
type rateLimited struct{ after time.Duration }

// Error implements error.
func (e *rateLimited) Error() string { return ErrRateLimited.Error() }

// Is makes errors.Is find ErrRateLimited.
func (e *rateLimited) Is(target error) bool { return target == ErrRateLimited }

func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}

// failure leaves out the errors that show a platform in good health.
func failure(err error) error {
	if errors.IsAny(err, errUnchanged, ErrNotFound, ErrConflict) {
		return nil
	}
	return err
}
