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

	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/platform"
)

const (
	// registerTimeout bounds a call that registers this process.
	registerTimeout = time.Second
	// registerPause is the time between tries to register.
	registerPause = 500 * time.Millisecond
	// DefaultSettingsInterval is the default of Options.SettingsInterval: the file
	// may change without a signal.
	DefaultSettingsInterval = 5 * time.Second
)

// member is what a process tells the others of itself.
type member struct {
	DataCentre version.DataCentreID `json:"data_centre"`
	// Peers is the host:port that accepts links.
	Peers string `json:"peers"`
	// Cores is the processor that the process may use.
	Cores float64 `json:"cores"`
}

// register writes this process's entry among the members, until the store has
// taken it.
func (e *Edge) register(ctx context.Context) error {
	settings := e.settings.Load()
	spec, err := json.Marshal(member{
		DataCentre: settings.DataCentre,
		Peers:      net.JoinHostPort(settings.IP, port(settings.PeerPort)),
		Cores:      settings.ProcessorShare,
	})
	if err != nil {
		return errors.Wrap(err, "encode member")
	}
	for {
		err := e.writeMember(ctx, string(settings.VM), spec)
		if err == nil {
			e.log.Info("registered")
			<-ctx.Done()
			return ctx.Err()
		}
		e.log.Warn("could not register", "error", err)
		if err := wait.Sleep(ctx, registerPause); err != nil {
			return err
		}
	}
}

func (e *Edge) writeMember(ctx context.Context, name string, spec []byte) error {
	call, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	_, err := e.store.Create(call, platform.KindMember, name, spec)
	if errors.Is(err, platform.ErrConflict) {
		_, err = e.store.Replace(call, platform.KindMember, name, spec, 0)
	}
	return err
}

// followSettings reads the settings file again when a signal says so, and from
// time to time.
func (e *Edge) followSettings(ctx context.Context) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(e.options.SettingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-hangup:
			e.reload("signal")
		case <-ticker.C:
			e.reload("")
		}
	}
}

// reload takes the settings file if it has changed. Addresses stay as they are
// until the next start.
func (e *Edge) reload(cause string) {
	settings, err := platform.LoadSettings(e.options.SettingsPath)
	if err != nil {
		e.log.Error("settings cannot be read, the last ones stay in force", "error", err)
		return
	}
	changed := settings.Bounds != e.settings.Load().Bounds
	if changed {
		e.settings.Store(settings)
	}
	if changed || cause != "" {
		e.log.Info("settings read", "cause", cause, "changed", changed)
	}
}

func port(number int) string { return strconv.Itoa(number) }
