// Package watch follows the configuration in the platform's object API and
// hands each new version to the decision core.
package watch

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/trefoilwell/trefoilwell/daemon/connection/platform"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// HeadKey is the key of the head object.
	HeadKey = "config/head"
	// partPrefix begins the key of a part; its SHA-256 follows.
	partPrefix = "config/part/"
	// retryMin and retryMax bound the pause after a failed call.
	retryMin = 200 * time.Millisecond
	retryMax = 5 * time.Second
)

// ErrCorrupt is returned for a part that does not match its digest.
var ErrCorrupt = errors.New("configuration part corrupt")

// ErrNoHead is returned for an order before a head is known.
var ErrNoHead = errors.New("no configuration head known")

// Options set up a Watcher.
type Options struct {
	Store platform.Store
	// Apply takes each new version, in order.
	Apply func(*version.Config)
	Log   *slog.Logger
}

// Watcher follows the head object.
type Watcher struct {
	options Options
	known   platform.ObjectVersion

	mu       sync.Mutex
	head     version.Head
	document *version.Document
	orders   []version.Order
	config   *version.Config
}

// New returns a watcher that has seen nothing.
func New(options Options) *Watcher { return &Watcher{options: options} }

// Run follows the head until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	pause := retryMin
	for ctx.Err() == nil {
		if err := w.next(ctx); err != nil {
			w.options.Log.Warn("configuration watch", "error", err)
			sleep(ctx, rand.N(pause))
			pause = min(2*pause, retryMax)
			continue
		}
		pause = retryMin
	}
	return ctx.Err()
}

// next waits for a head other than the known one and applies it.
func (w *Watcher) next(ctx context.Context) error {
	object, err := w.options.Store.Watch(ctx, HeadKey, w.known)
	if err != nil {
		return err
	}
	head, document, err := Load(ctx, w.options.Store, object.Value)
	if err != nil {
		return err
	}
	w.known = object.Version
	w.mu.Lock()
	defer w.mu.Unlock()
	w.head, w.document = head, document
	return w.apply()
}

// apply puts the head in force under the orders.
func (w *Watcher) apply() error {
	head := w.head.Under(w.orders)
	if w.config != nil && head.Number <= w.config.Number {
		return nil
	}
	config, err := version.Compile(w.document, head)
	if err != nil {
		return err
	}
	w.config = config
	w.options.Apply(config)
	return nil
}

// Order puts an order in force over the platform's head and returns the
// configuration number that includes it. It returns ErrNoHead while no head is
// known.
func (w *Watcher) Order(order version.Order) (version.Number, error) {
	if err := order.Check(); err != nil {
		return 0, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.document == nil {
		return 0, ErrNoHead
	}
	w.orders = append(w.orders, order)
	if err := w.apply(); err != nil {
		return 0, err
	}
	return w.config.Number, nil
}

// Orders returns the head's number and the orders in force over it.
func (w *Watcher) Orders() (version.Number, []version.Order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.head.Number, w.head.Pending(w.orders)
}

// Load reads the parts that an encoded head names.
func Load(ctx context.Context, store platform.Store, encodedHead []byte) (version.Head, *version.Document, error) {
	var head version.Head
	if err := json.Unmarshal(encodedHead, &head); err != nil {
		return head, nil, errors.Wrap(err, "decode head")
	}
	var document version.Document
	for _, part := range head.Parts {
		if err := loadPart(ctx, store, part, &document); err != nil {
			return head, nil, errors.Wrapf(err, "part %q", part.Name)
		}
	}
	return head, &document, nil
}

func loadPart(ctx context.Context, store platform.Store, part version.PartRef, into *version.Document) error {
	object, err := store.Get(ctx, PartKey(part.SHA256))
	if err != nil {
		return err
	}
	if Digest(object.Value) != part.SHA256 {
		return ErrCorrupt
	}
	var document version.Document
	if err := toml.Unmarshal(object.Value, &document); err != nil {
		return errors.Wrap(err, "decode part")
	}
	into.Append(document)
	return nil
}

// PartKey returns the key of the part with a digest.
func PartKey(digest string) string { return partPrefix + digest }

// Digest returns a part's hex SHA-256.
func Digest(value []byte) string {
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:])
}

func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
