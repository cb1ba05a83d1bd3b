package edge

import (
	"context"
	"encoding/json"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/process/clock"
	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/platform"
)

const (
	// registerTimeout bounds the calls to the store of one attempt to register this process
	// or to publish the fleet secret.
	registerTimeout = time.Second
	// registerRetryInterval is the pause after a failed attempt to register.
	registerRetryInterval = 500 * time.Millisecond
	// lostEntryCheckInterval is how often a process checks that the store still has its entry
	// and the fleet secret: a store that returns from an older copy may have lost them.
	lostEntryCheckInterval = 200 * time.Millisecond
	// writtenEntryDelay is how long a written entry may take to come back with the list of
	// members. Within it, it is written again only in another era of the store.
	writtenEntryDelay = 3 * time.Second
	// DefaultSettingsInterval is the default of Options.SettingsInterval. The file is read
	// periodically because it may change without a signal.
	DefaultSettingsInterval = 5 * time.Second
)

// member is the entry of a process among the members in the store, for the other processes.
type member struct {
	DataCentre version.DataCentreID `json:"data_centre"`
	// Peers is the host:port of the process's peer listener.
	Peers string `json:"peers"`
	// Cores is the processor capacity that the process may use, in cores.
	Cores float64 `json:"cores"`
}

// register writes this process's entry among the members, with retries until the store
// accepts it, and again whenever the store has lost it. It returns when ctx ends.
func (d *Daemon) register(ctx context.Context) error {
	settings := d.settings.Load()
	spec, err := json.Marshal(member{
		DataCentre: settings.DataCentre,
		Peers:      net.JoinHostPort(settings.IP, portString(settings.PeerPort)),
		Cores:      settings.AvailableCores,
	})
	if err != nil {
		return errors.Wrap(err, "encode member")
	}
	for {
		err := d.writeMemberEntry(ctx, string(settings.VM), spec)
		pause := registerRetryInterval
		if err == nil {
			d.log.Info("registered")
			if err := d.awaitLostEntry(ctx); err != nil {
				return err
			}
			pause = 0
		} else {
			d.log.Warn("cannot register this process, will retry", "error", err)
		}
		if err := wait.Sleep(ctx, pause); err != nil {
			return err
		}
	}
}

// awaitLostEntry waits until the store lacks this process's entry. Meanwhile it writes the fleet
// secret again if the store has lost that. A process that leaves restores nothing.
func (d *Daemon) awaitLostEntry(ctx context.Context) error {
	var secretWritten entryWrite
	written := d.newEntryWrite()
	for {
		if err := wait.Sleep(ctx, lostEntryCheckInterval); err != nil {
			return err
		}
		if d.leaving.Load() {
			continue
		}
		if d.secret.Load() != nil && d.mirror.LacksMember(memberSecretName) && d.mayBeLost(secretWritten) {
			secretWritten = d.newEntryWrite()
			if err := d.publishSecret(ctx); err != nil {
				d.log.Warn("cannot publish the fleet secret again, will retry", "error", err)
			}
		}
		if d.mirror.LacksMember(string(d.settings.Load().VM)) && d.mayBeLost(written) {
			d.log.Warn("store has lost the entry of this process")
			return nil
		}
	}
}

// entryWrite is a write of an entry among the members.
type entryWrite struct {
	at  time.Time
	era uint64
}

func (d *Daemon) newEntryWrite() entryWrite {
	era, _ := d.mirror.Era()
	return entryWrite{at: clock.Boot(), era: era}
}

// mayBeLost reports whether a written entry that the list of members lacks may be lost.
func (d *Daemon) mayBeLost(w entryWrite) bool {
	era, _ := d.mirror.Era()
	return era != w.era || clock.Boot().Sub(w.at) >= writtenEntryDelay
}

// writeMemberEntry creates the entry, or replaces one that an earlier process with the same
// name has left.
func (d *Daemon) writeMemberEntry(ctx context.Context, name string, spec []byte) error {
	callCtx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	_, err := d.store.Create(callCtx, platform.KindMember, name, spec)
	if errors.Is(err, platform.ErrConflict) {
		_, err = d.store.Replace(callCtx, platform.KindMember, name, spec, 0)
	}
	return err
}

// watchSettings reads the settings file again on SIGHUP and every Options.SettingsInterval,
// until ctx ends.
func (d *Daemon) watchSettings(ctx context.Context) error {
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	defer signal.Stop(sighup)
	ticker := time.NewTicker(d.options.SettingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-sighup:
			d.reloadSettings("signal")
		case <-ticker.C:
			d.reloadSettings("")
		}
	}
}

// reloadSettings reads the settings file and applies its bounds if they have changed.
// Addresses are not applied before the next start. cause is logged, and empty for a periodic
// read.
func (d *Daemon) reloadSettings(cause string) {
	settings, err := platform.LoadSettings(d.options.SettingsPath)
	if err != nil {
		d.log.Error("cannot read settings, the previous ones stay active", "error", err)
		return
	}
	changed := settings.Bounds != d.settings.Load().Bounds
	if changed {
		d.settings.Store(settings)
	}
	if changed || cause != "" {
		d.log.Info("settings read", "cause", cause, "changed", changed)
	}
}

func portString(number int) string { return strconv.Itoa(number) }
