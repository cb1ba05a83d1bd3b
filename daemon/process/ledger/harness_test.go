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

// storeTime is the time of a call of the fake store.
const storeTime = 5 * time.Millisecond

// fakeStore is a store in memory.
type fakeStore struct {
	objectstore.Store

	mu      sync.Mutex
	objects map[string]objectstore.Object
	version objectstore.ObjectVersion
	// down ends every call without effect and without an answer.
	down bool
	// loseAnswers ends writes without an answer after they took effect.
	loseAnswers bool
	puts        int
}

func newStore() *fakeStore { return &fakeStore{objects: make(map[string]objectstore.Object)} }

func (s *fakeStore) set(change func(*fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *fakeStore) Get(_ context.Context, key string) (objectstore.Object, error) {
	time.Sleep(storeTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	object, present := s.objects[key]
	switch {
	case s.down:
		return objectstore.Object{}, objectstore.ErrUnavailable
	case !present:
		return objectstore.Object{}, objectstore.ErrNotFound
	default:
		return object, nil
	}
}

func (s *fakeStore) Put(_ context.Context, key string, value []byte, expected objectstore.ObjectVersion) (objectstore.ObjectVersion, error) {
	time.Sleep(storeTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.puts++
	switch {
	case s.down:
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

// links carries messages between the ledgers of a test.
type links map[version.VMID]*Ledger

// sender is one ledger's end of the links.
type sender struct {
	links links
	from  version.VMID
}

func (s sender) Send(to version.VMID, message wire.Message) bool {
	target, linked := s.links[to]
	if linked {
		go target.Receive(s.from, []wire.Message{message})
	}
	return linked
}

// start runs ledgers whose shards are all written by owner, until the test
// ends.
func start(t *testing.T, store objectstore.Store, owner version.VMID, vms ...version.VMID) links {
	t.Helper()
	all := make(links)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	for _, vm := range vms {
		all[vm] = New(Options{VM: vm, Store: store, Sender: sender{links: all, from: vm}, Log: slog.New(slog.DiscardHandler)})
	}
	var owners core.Owners
	for shard := range owners {
		owners[shard] = core.Owner{VM: owner}
	}
	for _, l := range all {
		running.Go(func() { _ = l.Run(ctx) })
		l.SetOwners(owners)
	}
	return all
}

func newClaim(key claim.Key) claim.Claim {
	return claim.Claim{Account: 1, Key: key, Attempt: uuid.New()}
}

func newKey() claim.Key {
	id := uuid.New()
	return claim.NewKey(time.Now(), [10]byte(id[6:]))
}
