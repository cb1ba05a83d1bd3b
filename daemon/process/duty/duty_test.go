package duty

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
)

var errEnded = errors.New("ended")

// Guards against a panic in one task that crashes the process.
func TestPanickedTaskIsRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		before, runs := Panics(), 0
		err := RunRestarting(t.Context(), "watch", slog.New(slog.NewJSONHandler(&log, nil)), func(context.Context) error {
			if runs++; runs <= 2 {
				panic("malformed message")
			}
			return errEnded
		})
		if !errors.Is(err, errEnded) || runs != 3 || Panics()-before != 2 {
			t.Errorf("error %v after %d runs and %d panics, want errEnded after 3 runs and 2 panics", err, runs, Panics()-before)
		}
		if lines := log.String(); strings.Count(lines, `"duty":"watch"`) != 2 || !strings.Contains(lines, "malformed message") {
			t.Errorf("log %s, want the task and the panic in two lines", lines)
		}
	})
}

// Guards against running on with state that a panic may have corrupted.
func TestPanicInVitalTaskStopsTheGroup(t *testing.T) {
	var group run.Group
	log := slog.New(slog.DiscardHandler)
	otherStopped := false
	AddVital(&group, t.Context(), "core", log, func(context.Context) error { panic("broken") })
	Add(&group, t.Context(), "other", log, func(ctx context.Context) error {
		<-ctx.Done()
		otherStopped = true
		return ctx.Err()
	})
	if err := group.Run(); !errors.Is(err, ErrPanicked) || !otherStopped {
		t.Errorf("error %v, want ErrPanicked; the other task stopped: %v, want true", err, otherStopped)
	}
}
