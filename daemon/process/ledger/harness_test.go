package ledger

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/trefoilwell/trefoilwell/daemon/connection/objectstore"
	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	core "github.com/trefoilwell/trefoilwell/fleet/process/ledger"
	"github.com/trefoilwell/trefoilwell/fleet/request/claim"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// storeLatency is the duration of a call to the fake store.
const storeLatency = 5 * time.Millisecond

// fakeStore is an object store in memory.
type fakeStore struct {
	objectstore.Store

	mu      sync.Mutex
	objects map[string]objectstore.Object
	version objectstore.ObjectVersion
	// unavailable ends every call without effect and without an answer.
	unavailable bool
	// loseAnswers ends writes without an answer after they took effect.
	loseAnswers bool
	putCount    int
}

func newFakeStore() *fakeStore { return &fakeStore{objects: make(map[string]objectstore.Object)} }

func (s *fakeStore) configure(change func(*fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *fakeStore) Get(_ context.Context, key string) (objectstore.Object, error) {
	time.Sleep(storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	object, present := s.objects[key]
	switch {
	case s.unavailable:
		return objectstore.Object{}, objectstore.ErrUnavailable
	case !present:
		return objectstore.Object{}, objectstore.ErrNotFound
	default:
		return object, nil
	}
}

func (s *fakeStore) Put(_ context.Context, key string, value []byte, expected objectstore.ObjectVersion) (objectstore.ObjectVersion, error) {
	time.Sleep(storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putCount++
	switch {
	case s.unavailable:
		return 0, objectstore.ErrUnavailable
	case s.objects[key].Version != expected:
		return 0, objectstore.ErrConflict
	}
	s.version++
	s.objects[key] = objectstore.Object{Key: key, Version: s.version, Value: slices.Clone(value)}
	if s.loseAnswers {
		return 0, objectstore.ErrUnavailable
	}
	return s.version, nil
}

func (s *fakeStore) Delete(_ context.Context, key string, expected objectstore.ObjectVersion) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[key].Version != expected {
		return objectstore.ErrConflict
	}
	delete(s.objects, key)
	return nil
}

func (s *fakeStore) List(_ context.Context, prefix string) ([]string, error) {
	var keys []string
	for _, key := range s.keys() {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	return keys, nil
}

func (s *fakeStore) keys() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.objects))
}

// fakeLinks delivers messages between the ledgers of a test.
type fakeLinks map[version.VMID]*Ledger

// fakeSender is the Sender of one ledger.
type fakeSender struct {
	links fakeLinks
	from  version.VMID
}

func (s fakeSender) Send(to version.VMID, message wire.Message) bool {
	target, linked := s.links[to]
	if linked {
		go target.Receive(s.from, []wire.Message{message})
	}
	return linked
}

// startLedgers runs ledgers whose shards are all owned by owner, until the test
// ends.
func startLedgers(t *testing.T, store objectstore.Store, owner version.VMID, vms ...version.VMID) fakeLinks {
	t.Helper()
	links := make(fakeLinks)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	for _, vm := range vms {
		links[vm] = New(Options{VM: vm, Store: store, Sender: fakeSender{links: links, from: vm}, Log: slog.New(slog.DiscardHandler)})
	}
	var owners core.Owners
	for shard := range owners {
		owners[shard] = core.Owner{VM: owner}
	}
	for _, l := range links {
		running.Go(func() { _ = l.Run(ctx) })
		l.SetOwners(owners)
	}
	return links
}

func newClaim(key claim.Key) claim.Claim {
	return claim.Claim{Account: 1, Key: key, Attempt: uuid.New()}
}

func newKey() claim.Key {
	id := uuid.New()
	return claim.NewKey(time.Now(), [10]byte(id[6:]))
}
