package objectstore

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/time/rate"

	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/platform"
)

const (
	// MaxValueBytes bounds a value. Encoded, it has a third more and must stay
	// within the 1 MiB of the store's objects.
	MaxValueBytes = 780_000
	// DefaultCallsPerSecond and DefaultCallsBurst are a process's budget of
	// calls if Options give none.
	DefaultCallsPerSecond = 50.0
	DefaultCallsBurst     = 100
	// watchWait is how long the store may hold a watch open.
	watchWait = 20 * time.Second
	// callTimeout bounds one attempt of any other call.
	callTimeout = 3 * time.Second
)

const (
	// connectTimeout bounds the opening of a connection.
	connectTimeout = 2 * time.Second
	// idleConnections bounds the connections kept open between calls.
	idleConnections = 16
	// idleTimeout closes a connection that was not used for so long.
	idleTimeout = 90 * time.Second
)

// NewTransport returns a transport for the store; settings may be nil.
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

// Call names a kind of call to the store.
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
	// URL is the store's base URL.
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
	// not block. An answer of the store that is not a failure of its own,
	// such as ErrNotFound and ErrConflict, counts as nil.
	Observe func(call Call, err error)
}

// Client implements Store and Directory with the platform's metadata store. It
// is safe for concurrent use, and one Client should be shared by a process, so
// that its calls stay within one budget.
//
// Reads are attempted again while the store is unavailable. A write is
// attempted again only after a refusal that promises no effect; see Settle for
// writes whose answer was lost.
type Client struct {
	options Options
	store   *platform.Store
	budget  *rate.Limiter
}

var (
	_ Store     = (*Client)(nil)
	_ Directory = (*Client)(nil)
)

// New returns a client.
func New(options Options) *Client {
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
		store: platform.NewStore(platform.StoreOptions{
			URL: options.URL, Token: options.Token, Transport: options.Transport,
		}),
		budget: rate.NewLimiter(rate.Limit(options.CallsPerSecond), options.CallsBurst),
	}
}

// attempt makes one call within the budget and reports its outcome.
func (c *Client) attempt(ctx context.Context, call Call, timeout time.Duration, do func(context.Context) error) error {
	if err := c.budget.Wait(ctx); err != nil {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		return errors.Mark(errors.Wrap(err, "budget of calls"), ErrRateLimited)
	}
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := translate(do(limited))
	if ctx.Err() == nil {
		c.options.Observe(call, failure(err))
	}
	return err
}

// translate turns an error of the platform's client into one of this package.
func translate(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, platform.ErrNotFound):
		return errors.Mark(err, ErrNotFound)
	case errors.Is(err, platform.ErrConflict):
		return errors.Mark(err, ErrConflict)
	case errors.Is(err, platform.ErrHistoryGone):
		return errors.Mark(err, errHistoryGone)
	case errors.Is(err, platform.ErrRateLimited):
		return errors.Mark(err, ErrRateLimited)
	case errors.Is(err, platform.ErrBusy):
		return errors.Mark(errors.Mark(err, ErrUnavailable), errNoEffect)
	case errors.Is(err, platform.ErrRejected):
		return errors.Mark(err, ErrRejected)
	}
	// What is left are calls without an answer that can be understood.
	return errors.Mark(err, ErrUnavailable)
}

// failure leaves out the errors that show a store in good health.
func failure(err error) error {
	if errors.IsAny(err, ErrNotFound, ErrConflict, errHistoryGone) {
		return nil
	}
	return err
}

// place returns the kind and the name of the object of a key: the kind is made
// of all parts of the key but the last.
func place(key string) (kind, name string) {
	cut := strings.LastIndexByte(key, '/')
	if cut < 0 {
		return platform.KindPrefix + "objects", key
	}
	return platform.KindPrefix + strings.ReplaceAll(key[:cut], "/", "-"), key[cut+1:]
}

// content is what an object holds. Each write has another ID, because a write
// that changes nothing would keep the object's revision.
type content struct {
	Value   []byte `json:"value"`
	WriteID string `json:"write_id"`
}

func encode(value []byte) ([]byte, error) {
	spec, err := json.Marshal(content{Value: value, WriteID: uuid.NewString()})
	return spec, errors.Wrap(err, "encode object")
}

func decode(key string, object platform.Object) (Object, error) {
	var held content
	if err := json.Unmarshal(object.Spec, &held); err != nil {
		return Object{}, errors.Mark(errors.Wrapf(err, "object %q", key), ErrUnavailable)
	}
	return Object{Key: key, Version: ObjectVersion(object.Revision), Value: held.Value}, nil
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	kind, name := place(key)
	var object Object
	err := c.options.Retry.do(ctx, transient, func() error {
		return c.attempt(ctx, CallGet, callTimeout, func(ctx context.Context) error {
			found, err := c.store.Get(ctx, kind, name)
			if err == nil {
				object, err = decode(key, found)
			}
			return err
		})
	})
	return object, err
}

// Watch implements Store. It goes on through outages of the store until ctx
// ends.
func (c *Client) Watch(ctx context.Context, key string, known ObjectVersion) (Object, error) {
	pauses := c.options.Retry.pauses()
	for {
		object, err := c.next(ctx, key, known, func() { pauses = c.options.Retry.pauses() })
		switch {
		case errors.Is(err, errHistoryGone):
		case !transient(err):
			return object, err
		default:
			if err := wait.Sleep(ctx, pauses.after(err)); err != nil {
				return Object{}, err
			}
		}
	}
}

// next returns the object once its version is not the known one, or the error of
// a call. It tells of each call that the store has answered.
func (c *Client) next(ctx context.Context, key string, known ObjectVersion, answered func()) (Object, error) {
	kind, name := place(key)
	objects, err := c.all(ctx, CallWatch, kind)
	if err != nil {
		return Object{}, err
	}
	answered()
	present := false
	for _, object := range objects.Objects {
		if object.Name != name {
			continue
		}
		present = true
		if ObjectVersion(object.Revision) != known {
			return decode(key, object)
		}
	}
	if !present && known != 0 {
		return Object{}, ErrNotFound
	}
	for revision := objects.Revision; ; {
		var changes platform.Snapshot
		err := c.attempt(ctx, CallWatch, watchWait+callTimeout, func(ctx context.Context) error {
			var err error
			changes, err = c.store.Watch(ctx, kind, revision, watchWait)
			return err
		})
		if err != nil {
			return Object{}, err
		}
		answered()
		revision = max(revision, changes.Revision)
		for _, object := range slices.Backward(changes.Objects) {
			switch {
			case object.Name != name:
			case object.Deleted:
				return Object{}, ErrNotFound
			default:
				return decode(key, object)
			}
		}
	}
}

// all returns the objects of a kind. Each page is a call of its own.
func (c *Client) all(ctx context.Context, call Call, kind string) (platform.Snapshot, error) {
	return platform.Gather(func(after string) (page platform.Snapshot, more bool, err error) {
		err = c.attempt(ctx, call, callTimeout, func(ctx context.Context) error {
			var err error
			page, more, err = c.store.Page(ctx, kind, after)
			return err
		})
		return page, more, err
	})
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, expected ObjectVersion) (ObjectVersion, error) {
	if len(value) > MaxValueBytes {
		return 0, errors.Wrapf(ErrRejected, "the value of %q has %d bytes, the limit is %d", key, len(value), MaxValueBytes)
	}
	kind, name := place(key)
	spec, err := encode(value)
	if err != nil {
		return 0, err
	}
	var written uint64
	err = c.options.Retry.do(ctx, withoutEffect, func() error {
		return c.attempt(ctx, CallPut, callTimeout, func(ctx context.Context) error {
			var err error
			if expected == 0 {
				written, err = c.store.Create(ctx, kind, name, spec)
				return err
			}
			written, err = c.store.Replace(ctx, kind, name, spec, uint64(expected))
			return gone(err)
		})
	})
	return ObjectVersion(written), err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expected ObjectVersion) error {
	kind, name := place(key)
	return c.options.Retry.do(ctx, withoutEffect, func() error {
		return c.attempt(ctx, CallDelete, callTimeout, func(ctx context.Context) error {
			return gone(c.store.Delete(ctx, kind, name, uint64(expected)))
		})
	})
}

// gone turns a write to an object that does not exist into one whose condition
// did not hold.
func gone(err error) error {
	if errors.Is(err, platform.ErrNotFound) {
		return errors.Wrap(platform.ErrConflict, "the object is gone")
	}
	return err
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]string, error) {
	kind, start := place(prefix)
	var keys []string
	err := c.options.Retry.do(ctx, transient, func() error {
		found, err := c.all(ctx, CallList, kind)
		keys = nil
		for _, object := range found.Objects {
			if strings.HasPrefix(object.Name, start) {
				keys = append(keys, strings.TrimSuffix(prefix, start)+object.Name)
			}
		}
		return err
	})
	slices.Sort(keys)
	return keys, err
}

// VMs implements Directory.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var vms []VM
	err := c.options.Retry.do(ctx, transient, func() error {
		found, err := c.all(ctx, CallVMs, platform.KindVM)
		if err != nil {
			return err
		}
		vms = make([]VM, len(found.Objects))
		for i, object := range found.Objects {
			if err := json.Unmarshal(object.Spec, &vms[i]); err != nil {
				return errors.Mark(errors.Wrapf(err, "VM %q", object.Name), ErrUnavailable)
			}
			vms[i].ID = version.VMID(object.Name)
		}
		return nil
	})
	return vms, err
}
