package objectstore

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/time/rate"

	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/fleet/version/storeera"
	"github.com/trefoilwell/trefoilwell/platform"
)

const (
	// MaxValueBytes bounds an object's value. Base64 makes the value a third
	// longer, and the encoded object must fit into the store's limit of 1 MiB.
	MaxValueBytes = 780_000
	// DefaultCallsPerSecond and DefaultCallsBurst are the call budget of a
	// process where Options give none.
	DefaultCallsPerSecond = 50.0
	DefaultCallsBurst     = 100
	// watchWait is how long the store may hold a watch call open when nothing
	// changes.
	watchWait = 20 * time.Second
	// callTimeout bounds one attempt of any other call, and the time that a watch
	// call may take beyond watchWait.
	callTimeout = 3 * time.Second
)

const (
	// connectTimeout bounds the opening of a connection, and then its TLS
	// handshake.
	connectTimeout = 2 * time.Second
	// maxIdleConnections bounds the connections kept open between calls.
	maxIdleConnections = 16
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 90 * time.Second
)

// NewTransport returns a transport for calls to the store. A nil config means the
// TLS defaults.
func NewTransport(config *tls.Config) *http.Transport {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		TLSClientConfig:     config,
		TLSHandshakeTimeout: connectTimeout,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// Call is a kind of call to the store, as reported to Options.Observe.
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

// Options configures a Client.
type Options struct {
	// URL is the store's base URL.
	URL string
	// Token is sent as a bearer token if it is not empty.
	Token string
	// Transport carries the calls; default one with its own connections.
	Transport http.RoundTripper
	// CallsPerSecond and CallsBurst are the call budget of this process, which
	// covers repeated attempts and watches; default DefaultCallsPerSecond and
	// DefaultCallsBurst.
	CallsPerSecond float64
	CallsBurst     int
	// Retry bounds and spaces the attempts of calls that may be repeated; default
	// DefaultRetry.
	Retry Retry
	// Observe is called with the outcome of each attempt; nil disables it. It
	// must not block. An error that does not indicate a failure of the store,
	// such as ErrNotFound or ErrConflict, is reported as nil.
	Observe func(call Call, err error)
	// OnNewEra is called when the store is first known to have returned from an older copy of
	// itself, with the store's era since then, before the call that showed it returns. The
	// default does nothing.
	OnNewEra func(era uint64)
}

// Client implements Store and Directory on the platform's metadata store. It is
// safe for concurrent use. A process should share one Client, so that all its
// calls stay within one budget.
//
// Reads are retried while the store is unavailable. A write is retried only
// after a refusal that guarantees that it had no effect; see PutConfirmed for writes
// whose answer was lost.
type Client struct {
	options Options
	store   *platform.Store
	// budget limits the rate of calls.
	budget *rate.Limiter
	// eras follows the era of the store.
	eras eraTracker
}

var (
	_ Store     = (*Client)(nil)
	_ Directory = (*Client)(nil)
)

// New returns a Client.
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
	if options.OnNewEra == nil {
		options.OnNewEra = func(uint64) {}
	}
	return &Client{
		options: options,
		store: platform.NewStore(platform.StoreOptions{
			URL: options.URL, Token: options.Token, Transport: options.Transport,
		}),
		budget: rate.NewLimiter(rate.Limit(options.CallsPerSecond), options.CallsBurst),
		eras:   eraTracker{onNewEra: options.OnNewEra, newEra: make(chan struct{})},
	}
}

// eraTracker is a storeera.Tracker for concurrent use.
type eraTracker struct {
	// onNewEra is called when the era has advanced.
	onNewEra func(era uint64)

	mu      sync.Mutex
	tracker storeera.Tracker
	// newEra is closed and replaced when the era advances.
	newEra chan struct{}
}

// check returns an error, marked with ErrUnavailable, for an answer of an older era.
func (t *eraTracker) check(era uint64) error {
	switch t.observe(era) {
	case storeera.Outdated:
		return errors.Mark(errors.Newf("answer of the store's era %d, later ones are known", era), ErrUnavailable)
	case storeera.Advanced:
		t.onNewEra(era)
	}
	return nil
}

func (t *eraTracker) observe(era uint64) storeera.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	verdict := t.tracker.Observe(time.Now(), era)
	if verdict == storeera.Advanced {
		close(t.newEra)
		t.newEra = make(chan struct{})
	}
	return verdict
}

// next returns a channel that is closed once an era after the given one is followed.
func (t *eraTracker) next(era uint64) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.tracker.Era() > era {
		begun := make(chan struct{})
		close(begun)
		return begun
	}
	return t.newEra
}

// current reports whether an object version is of the present era. A version of an older one may
// have been given out again.
func (t *eraTracker) current(v ObjectVersion) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return v.position().Era == t.tracker.Era()
}

// checkWritten returns the version of an object that was written under the condition of an
// expected version, or ErrConflict if the store had returned from an older copy in between.
func (t *eraTracker) checkWritten(written storeera.Position, expected ObjectVersion) (ObjectVersion, error) {
	if err := t.check(written.Era); err != nil {
		return 0, err
	}
	if expected != 0 && written.Era != expected.position().Era {
		return 0, errReturned
	}
	return versionOf(written), nil
}

// errReturned is a write whose condition is of an older era of the store.
var errReturned = errors.Mark(errors.New("the store returned from an older copy since the object was read"), ErrConflict)

// attempt makes one attempt of a call as soon as the budget permits, bounded by
// timeout, and reports its outcome to Observe. The outcome is not reported if ctx has
// ended.
func (c *Client) attempt(ctx context.Context, call Call, timeout time.Duration, do func(context.Context) error) error {
	if err := c.budget.Wait(ctx); err != nil {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		return errors.Mark(errors.Wrap(err, "call budget of this process"), ErrRateLimited)
	}
	attemptCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := translate(do(attemptCtx))
	if ctx.Err() == nil {
		c.options.Observe(call, storeFailure(err))
	}
	return err
}

// translate marks an error of the platform's client with the matching error of this
// package.
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
	// All other errors are calls without an answer, or with one that cannot be decoded.
	return errors.Mark(err, ErrUnavailable)
}

// storeFailure returns err, or nil if err is an answer of a healthy store.
func storeFailure(err error) error {
	if errors.IsAny(err, ErrNotFound, ErrConflict, errHistoryGone) {
		return nil
	}
	return err
}

// objectID returns the kind and name of the platform's object for a key. The name is
// the part of the key after the last slash, the kind is derived from the parts before.
func objectID(key string) (kind, name string) {
	slash := strings.LastIndexByte(key, '/')
	if slash < 0 {
		return platform.KindPrefix + "objects", key
	}
	return platform.KindPrefix + strings.ReplaceAll(key[:slash], "/", "-"), key[slash+1:]
}

// content is the content of the platform's object. Each write has a new WriteID,
// because the store keeps the revision of an object whose content does not change.
type content struct {
	Value   []byte `json:"value"`
	WriteID string `json:"write_id"`
}

// encode returns the content of an object that holds value, with a new WriteID.
func encode(value []byte) ([]byte, error) {
	spec, err := json.Marshal(content{Value: value, WriteID: uuid.NewString()})
	return spec, errors.Wrap(err, "encode object")
}

// decode returns the Object stored in object, the platform's object for key.
func decode(key string, object platform.Object) (Object, error) {
	var stored content
	if err := json.Unmarshal(object.Spec, &stored); err != nil {
		return Object{}, errors.Mark(errors.Wrapf(err, "decode object %q", key), ErrUnavailable)
	}
	at := storeera.Position{Era: object.Era, Revision: object.Revision}
	return Object{Key: key, Version: versionOf(at), Value: stored.Value}, nil
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	kind, name := objectID(key)
	var object Object
	err := c.options.Retry.do(ctx, retryableRead, func() error {
		return c.attempt(ctx, CallGet, callTimeout, func(ctx context.Context) error {
			found, err := c.store.Get(ctx, kind, name)
			if err == nil || errors.Is(err, platform.ErrNotFound) {
				err = errors.CombineErrors(c.eras.check(found.Era), err)
			}
			if err == nil {
				object, err = decode(key, found)
			}
			return err
		})
	})
	return object, err
}

// Watch implements Store. It retries without limit during outages of the store,
// until ctx ends; the backoff starts again after each answer. If the store no longer
// keeps the changes since the watched revision, it lists the objects again at once.
func (c *Client) Watch(ctx context.Context, key string, known ObjectVersion) (Object, error) {
	pauses := c.options.Retry.backoff()
	for {
		object, err := c.watchOnce(ctx, key, known, func() { pauses = c.options.Retry.backoff() })
		switch {
		case errors.Is(err, errHistoryGone):
		case !retryableRead(err):
			return object, err
		default:
			if err := wait.Sleep(ctx, pauses.after(err)); err != nil {
				return Object{}, err
			}
		}
	}
}

// watchOnce returns the object as soon as its version differs from known, or the error
// of the first call that fails. It calls onAnswer after each call that the store has
// answered.
func (c *Client) watchOnce(ctx context.Context, key string, known ObjectVersion, onAnswer func()) (Object, error) {
	kind, name := objectID(key)
	objects, err := c.listAll(ctx, CallWatch, kind)
	if err != nil {
		return Object{}, err
	}
	onAnswer()
	present := false
	for _, object := range objects.Objects {
		if object.Name != name {
			continue
		}
		present = true
		object.Era = objects.Era
		if versionOf(storeera.Position{Era: object.Era, Revision: object.Revision}) != known {
			return decode(key, object)
		}
	}
	if !present && known != 0 {
		return Object{}, ErrNotFound
	}
	newEra := c.eras.next(objects.Era)
	for revision := objects.Revision; ; {
		var changes platform.Snapshot
		err := c.attempt(ctx, CallWatch, watchWait+callTimeout, func(ctx context.Context) error {
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			// A watch may stay silent for long, while other calls show that the store returned.
			defer wait.CancelOn(newEra, cancel)()
			var err error
			changes, err = c.store.Watch(ctx, kind, revision, watchWait)
			if err == nil && changes.Era != objects.Era || isClosed(newEra) {
				// Revisions have begun again, so changes may be missing.
				err = platform.ErrHistoryGone
			}
			return err
		})
		if err != nil {
			return Object{}, err
		}
		onAnswer()
		revision = max(revision, changes.Revision)
		for _, object := range slices.Backward(changes.Objects) {
			switch {
			case object.Name != name:
			case object.Deleted:
				return Object{}, ErrNotFound
			default:
				object.Era = changes.Era
				return decode(key, object)
			}
		}
	}
}

func isClosed(event <-chan struct{}) bool {
	select {
	case <-event:
		return true
	default:
		return false
	}
}

// listAll returns all objects of a kind. It makes one attempt of a call for each page.
func (c *Client) listAll(ctx context.Context, call Call, kind string) (platform.Snapshot, error) {
	return platform.ReadPages(func(after string) (page platform.Snapshot, more bool, err error) {
		err = c.attempt(ctx, call, callTimeout, func(ctx context.Context) error {
			var err error
			page, more, err = c.store.Page(ctx, kind, after)
			if err == nil {
				err = c.eras.check(page.Era)
			}
			return err
		})
		return page, more, err
	})
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, expected ObjectVersion) (ObjectVersion, error) {
	if len(value) > MaxValueBytes {
		return 0, errors.Wrapf(ErrRejected, "put %q: the value has %d bytes, the limit is %d bytes", key, len(value), MaxValueBytes)
	}
	kind, name := objectID(key)
	spec, err := encode(value)
	if err != nil {
		return 0, err
	}
	if expected != 0 && !c.eras.current(expected) {
		return 0, errReturned
	}
	var written ObjectVersion
	err = c.options.Retry.do(ctx, retryableWrite, func() error {
		return c.attempt(ctx, CallPut, callTimeout, func(ctx context.Context) error {
			var at storeera.Position
			var err error
			if expected == 0 {
				at, err = c.store.Create(ctx, kind, name, spec)
			} else {
				at, err = c.store.Replace(ctx, kind, name, spec, expected.position().Revision)
				err = missingAsConflict(err)
			}
			if err == nil {
				written, err = c.eras.checkWritten(at, expected)
			}
			return err
		})
	})
	return written, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expected ObjectVersion) error {
	kind, name := objectID(key)
	if !c.eras.current(expected) {
		return errReturned
	}
	return c.options.Retry.do(ctx, retryableWrite, func() error {
		return c.attempt(ctx, CallDelete, callTimeout, func(ctx context.Context) error {
			return missingAsConflict(c.store.Delete(ctx, kind, name, expected.position().Revision))
		})
	})
}

// missingAsConflict turns the error of a write to an object that does not exist into that
// of a write whose precondition did not hold, which it is.
func missingAsConflict(err error) error {
	if errors.Is(err, platform.ErrNotFound) {
		return errors.Wrap(platform.ErrConflict, "the object does not exist")
	}
	return err
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]string, error) {
	kind, namePrefix := objectID(prefix)
	var keys []string
	err := c.options.Retry.do(ctx, retryableRead, func() error {
		found, err := c.listAll(ctx, CallList, kind)
		keys = nil
		for _, object := range found.Objects {
			if strings.HasPrefix(object.Name, namePrefix) {
				keys = append(keys, strings.TrimSuffix(prefix, namePrefix)+object.Name)
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
	err := c.options.Retry.do(ctx, retryableRead, func() error {
		found, err := c.listAll(ctx, CallVMs, platform.KindVM)
		if err != nil {
			return err
		}
		vms = make([]VM, len(found.Objects))
		for i, object := range found.Objects {
			if err := json.Unmarshal(object.Spec, &vms[i]); err != nil {
				return errors.Mark(errors.Wrapf(err, "decode VM %q", object.Name), ErrUnavailable)
			}
			vms[i].ID = version.VMID(object.Name)
		}
		return nil
	})
	return vms, err
}
