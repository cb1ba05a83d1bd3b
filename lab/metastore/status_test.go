package metastore_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/lab/metastore"
	"github.com/trefoilwell/trefoilwell/platform"
	"github.com/trefoilwell/trefoilwell/platform/platformtest"
)

// Guards against two VMs that both make a step of a rollout, a step of an order that was replaced, and
// an answer that is lost or comes with a late write.
func TestOnlyOneStatusIsWrittenForARevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastore.New()
		client := platform.NewStore(platform.StoreOptions{URL: "http://store", Transport: store.Transport()})
		write := func(status string, revision uint64) error {
			_, err := client.WriteStatus(t.Context(), platform.KindRollout, "s", []byte(status), revision)
			return err
		}
		check := func(want string) uint64 {
			t.Helper()
			object, err := client.Get(t.Context(), platform.KindRollout, "s")
			if err != nil || string(object.Status) != want || len(object.Spec) == 0 || object.Created == 0 {
				t.Errorf("object is %s with status %s, created at %d, error %v; want status %s", object.Spec, object.Status, object.Created, err, want)
			}
			return object.Revision
		}
		if err := write(`{"n":0}`, 1); !errors.Is(err, platform.ErrNotFound) {
			t.Errorf("without the object: %v", err)
		}
		store.Put(platform.KindRollout, "s", platformtest.Rollout("s", "v2", 12))
		first := check("")
		if err := write(`{"n":1}`, first); err != nil {
			t.Error(err)
		}
		for _, revision := range []uint64{first, 0} {
			if err := write(`{"n":2}`, revision); !errors.IsAny(err, platform.ErrConflict, platform.ErrRejected) {
				t.Errorf("second write at revision %d: %v", revision, err)
			}
		}
		second := check(`{"n":1}`)
		store.Put(platform.KindRollout, "s", platformtest.Rollout("s", "v3", 12))
		if err := write(`{"n":2}`, second); !errors.Is(err, platform.ErrConflict) {
			t.Errorf("write for the former order: %v", err)
		}
		third := check(`{"n":1}`)
		store.SetFaults(metastore.Faults{StatusWritesLate: time.Second})
		if err := write(`{"n":3}`, third); !errors.Is(err, platform.ErrUnavailable) {
			t.Errorf("late write: %v", err)
		}
		check(`{"n":1}`)
		time.Sleep(2 * time.Second)
		check(`{"n":3}`)
	})
}
