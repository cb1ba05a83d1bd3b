package edge

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
	"github.com/trefoilwell/trefoilwell/fleet/process/quarantine"
)

const (
	// memberHeldName is the name of the object among the members that holds what crashes upstreams.
	// Processes get it with the list of the members, so that reading it takes no call.
	memberHeldName = "held"
	// heldCheckInterval is how often a process compares its holds with the stored ones.
	heldCheckInterval = 250 * time.Millisecond
	// heldWriteInterval is the shortest time between two writes of the holds by one process.
	heldWriteInterval = time.Second
	// heldWriteDelay is how long a process other than the first member waits for that to write the
	// holds, and heldWriteSpread the time over which the others spread their writes.
	heldWriteDelay  = 2 * time.Second
	heldWriteSpread = 4 * time.Second
)

// heldEntry is a hold in the store.
type heldEntry struct {
	Request bool `json:"request"`
	// ID is the segment or the fingerprint in hexadecimal digits.
	ID      string `json:"id"`
	Round   uint32 `json:"round"`
	Crashes int    `json:"crashes"`
	Trials  int    `json:"trials"`
}

// heldObject is the content of the object that holds the holds.
type heldObject struct {
	Held []heldEntry `json:"held"`
}

func encodeHeld(saved []quarantine.Saved) ([]byte, error) {
	object := heldObject{Held: []heldEntry{}}
	for _, s := range saved {
		object.Held = append(object.Held, heldEntry{Request: s.Subject.Request, ID: s.Subject.String(), Round: s.Round, Crashes: s.Crashes, Trials: s.Trials})
	}
	return json.Marshal(object)
}

func decodeHeld(spec []byte) ([]quarantine.Saved, error) {
	var object heldObject
	if err := json.Unmarshal(spec, &object); err != nil {
		return nil, err
	}
	var saved []quarantine.Saved
	for _, entry := range object.Held {
		id, err := strconv.ParseUint(entry.ID, 16, 64)
		if err != nil {
			return nil, errors.Wrapf(err, "identifier %q", entry.ID)
		}
		saved = append(saved, quarantine.Saved{
			Subject: quarantine.Subject{Request: entry.Request, ID: id}, Round: entry.Round, Crashes: entry.Crashes, Trials: entry.Trials,
		})
	}
	return saved, nil
}

// setHeld puts the stored holds in force. A malformed object is logged and ignored. spec is nil if
// the store has none.
func (d *Daemon) setHeld(spec []byte) {
	var saved []quarantine.Saved
	if spec != nil {
		var err error
		if saved, err = decodeHeld(spec); err != nil {
			d.log.Warn("stored holds are malformed, ignored", "error", err)
		}
	}
	d.quarantine.Restore(saved)
	d.storedHeld.Store(&saved)
}

// storeHeld writes the holds to the store when they have changed, until ctx ends, so that they
// outlast the end of all processes. The first member writes them, or another one if that does not.
func (d *Daemon) storeHeld(ctx context.Context) error {
	differsFor := time.Duration(0)
	delay := heldWriteDelay + rand.N(heldWriteSpread)
	for {
		if err := wait.Sleep(ctx, heldCheckInterval); err != nil {
			return err
		}
		stored := d.storedHeld.Load()
		saved := d.quarantine.Saved()
		if stored == nil || d.leaving.Load() || slices.Equal(*stored, saved) {
			differsFor = 0
			continue
		}
		if differsFor += heldCheckInterval; !d.isFirstMember.Load() && differsFor < delay {
			continue
		}
		if err := d.writeHeld(ctx, saved); err != nil {
			d.log.Warn("cannot store what is held, will retry", "error", err)
		}
		if err := wait.Sleep(ctx, heldWriteInterval); err != nil {
			return err
		}
	}
}

func (d *Daemon) writeHeld(ctx context.Context, saved []quarantine.Saved) error {
	spec, err := encodeHeld(saved)
	if err != nil {
		return errors.Wrap(err, "encode holds")
	}
	return d.writeMemberEntry(ctx, memberHeldName, spec)
}
