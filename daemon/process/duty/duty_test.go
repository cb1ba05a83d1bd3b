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

// Guards against an unexpected error in one duty that ends the process.
func TestADutyThatPanicsBeginsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var text bytes.Buffer
		before, runs := Panics(), 0
		err := Keep(t.Context(), "watch", slog.New(slog.NewJSONHandler(&text, nil)), func(context.Context) error {
			if runs++; runs <= 2 {
				panic("malformed message")
			}
			return errEnded
		})
		if !errors.Is(err, errEnded) || runs != 3 || Panics()-before != 2 {
			t.Errorf("%v after %d runs, %d panics", err, runs, Panics()-before)
		}
		if lines := text.String(); strings.Count(lines, `"duty":"watch"`) != 2 || !strings.Contains(lines, "malformed message") {
			t.Errorf("logged %s", lines)
		}
	})
}

// Guards against going on with state that a panic may have spoilt.
func TestAVitalDutyThatPanicsEndsTheOthersInOrder(t *testing.T) {
	var group run.Group
	log := slog.New(slog.DiscardHandler)
	ended := false
	AddVital(&group, t.Context(), "core", log, func(context.Context) error { panic("broken") })
	Add(&group, t.Context(), "other", log, func(ctx context.Context) error {
		<-ctx.Done()
		ended = true
		return ctx.Err()
	})
	if err := group.Run(); !errors.Is(err, ErrPanicked) || !ended {
		t.Errorf("%v, the other one ended: %v", err, ended)
	}
}
