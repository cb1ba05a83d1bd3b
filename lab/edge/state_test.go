package edge

import (
	"io"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/lab/generalupstream"
	"github.com/trefoilwell/trefoilwell/lab/metastore"
	"github.com/trefoilwell/trefoilwell/platform"
	"github.com/trefoilwell/trefoilwell/platform/platformtest"
)

// status sends a request of its own identifier and returns its status.
func (w *world) status(path string) int {
	w.t.Helper()
	w.next++
	return w.do(call{path: path, id: "probe-" + string(rune('a'+w.next%26)) + time.Now().String()}).status
}

func TestAKeyThatIsTakenAwayIsRefused(t *testing.T) {
	w := start(t, 1, nil)
	if status := w.status("/safe/x"); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	w.configure(func(config map[string]any) {
		config["tenants"].([]any)[0].(map[string]any)["api_keys"] = []string{"other"}
	})
	w.eventually("refused", func() bool { return w.status("/safe/x") == http.StatusUnauthorized })
}

func TestKeysAreNotTrustedWithoutTheStore(t *testing.T) {
	for name, faults := range map[string]metastore.Faults{
		"silent":  {Silent: true},
		"refuses": {Refuse: http.StatusTooManyRequests},
	} {
		w := start(t, 1, func(limits platformtest.Fields) { limits["revoke_ms"] = 2500 })
		w.store.SetFaults(faults)
		w.eventually(name+": keyed requests refused", func() bool { return w.status("/safe/x") == http.StatusServiceUnavailable })
		if w.ready() {
			t.Errorf("%s: ready though no key can be trusted", name)
		}
		if status := w.status("/open/x"); status != http.StatusOK {
			t.Errorf("%s: public route: status %d", name, status)
		}
		w.store.SetFaults(metastore.Faults{})
		w.eventually(name+": served again", func() bool { return w.status("/safe/x") == http.StatusOK })
	}
}

func TestAnUpstreamThatDrainsOrLeavesGetsNothing(t *testing.T) {
	w := start(t, 2, nil)
	w.register(w.upstreams[0], "calls", platformtest.Draining)
	w.eventually("left alone", func() bool {
		before := len(w.upstreams[0].Runs())
		for range 6 {
			w.status("/safe/x")
		}
		return len(w.upstreams[0].Runs()) == before
	})
	w.register(w.upstreams[0], "calls", platformtest.Ready)
	w.store.Remove(platform.KindUpstream, w.upstreams[1].Instance)
	w.eventually("moved", func() bool {
		before := len(w.upstreams[1].Runs())
		for range 6 {
			if w.status("/safe/x") != http.StatusOK {
				return false
			}
		}
		return len(w.upstreams[1].Runs()) == before
	})
}

func TestAnotherProcessAtTheAddressRunsNothing(t *testing.T) {
	w := start(t, 1, nil)
	w.upstreams[0].Instance = "i-new"
	got := w.do(call{path: "/unsafe/x", id: "moved"})
	if got.status != http.StatusServiceUnavailable || len(w.runs("moved")) != 0 {
		t.Errorf("status %d, %d runs", got.status, len(w.runs("moved")))
	}
}

func TestAMalformedRegistrationLeavesTheOthers(t *testing.T) {
	w := start(t, 1, nil)
	w.store.Put(platform.KindUpstream, "i-odd", "no object")
	w.store.Put(platform.KindUpstream, "i-half", map[string]any{"service": "calls", "slots": "many"})
	w.store.Put(platform.KindEvacuation, "dc-other", map[string]any{})
	for range 5 {
		if status := w.status("/safe/x"); status != http.StatusOK {
			t.Fatalf("status %d", status)
		}
	}
}

func TestChangesInAForgottenHistoryAreSeen(t *testing.T) {
	w := start(t, 2, nil)
	w.store.SetFaults(metastore.Faults{Deaf: true})
	w.store.Remove(platform.KindUpstream, w.upstreams[0].Instance)
	w.store.Forget()
	w.store.SetFaults(metastore.Faults{})
	w.eventually("gone", func() bool {
		before := len(w.upstreams[0].Runs())
		for range 6 {
			w.status("/safe/x")
		}
		return len(w.upstreams[0].Runs()) == before
	})
}

func TestAnEvacuatedDataCentreGetsNothingUntilItIsTakenBack(t *testing.T) {
	w := start(t, 1, nil)
	w.store.Put(platform.KindEvacuation, platformtest.DataCentre, map[string]any{})
	w.eventually("refused", func() bool { return w.status("/safe/x") == http.StatusServiceUnavailable })
	w.store.Remove(platform.KindEvacuation, platformtest.DataCentre)
	w.eventually("served", func() bool { return w.status("/safe/x") == http.StatusOK })
}

func TestTheConfigurationNeverGoesBack(t *testing.T) {
	w := start(t, 1, nil)
	w.configure(nil)
	w.configure(func(config map[string]any) {
		added := config["routes"].([]any)[0].(map[string]any)
		copied := make(map[string]any)
		for name, value := range added {
			copied[name] = value
		}
		copied["name"], copied["path_prefix"] = "new", "/new/"
		config["routes"] = append(config["routes"].([]any), copied)
	})
	w.eventually("in force", func() bool { return w.status("/new/x") == http.StatusOK })
	w.version = 0
	w.configure(nil)
	w.store.Put(platform.KindConfig, platform.ConfigName, "malformed")
	deadline := time.Now().Add(2500 * time.Millisecond)
	for time.Now().Before(deadline) {
		if status := w.status("/new/x"); status != http.StatusOK {
			t.Fatalf("an older version is in force: status %d", status)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func TestADrainCutsNoRequest(t *testing.T) {
	w := start(t, 1, func(limits platformtest.Fields) { limits["grace_s"] = 20 })
	w.setFaults(generalupstream.Faults{Pause: 150 * time.Millisecond})
	request, err := http.NewRequest(http.MethodPost, "http://"+w.callers+"/stream/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = host
	request.Header.Set(platformtest.HeaderRequestID, "running")
	request.Header.Set(platformtest.HeaderKey, key)
	answer, err := w.client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	w.stop()
	w.eventually("not ready", func() bool { return !w.ready() })
	late := w.do(call{path: "/safe/x", id: "late"})
	if late.status != http.StatusOK || !late.last {
		t.Errorf("a request after the signal: %+v", late)
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil || string(body) != generalupstream.WholeStream() {
		t.Errorf("the stream was cut: %q %v", body, err)
	}
}

func TestSettingsAreReadAgainOnSIGHUP(t *testing.T) {
	w := start(t, 1, nil)
	if got := w.do(call{path: "/safe/x", id: "before"}); got.status != http.StatusOK {
		t.Fatalf("got %d, %v", got.status, got.err)
	}
	// With a bound this short, keys hold for a tenth of a second after each read
	// of the store.
	limits := platformtest.Bounds(nil)
	limits["revoke_ms"] = 600
	w.writeSettings(limits)
	hangUp := func() {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	hangUp()
	w.eventually("bound by the new settings", func() bool {
		return w.do(call{path: "/safe/x", id: "bound"}).status == http.StatusServiceUnavailable
	})
	if err := os.WriteFile(w.settings, []byte(`{"node":`), 0o600); err != nil {
		t.Fatal(err)
	}
	hangUp()
	w.eventually("bound by the last good settings", func() bool {
		return w.do(call{path: "/safe/x", id: "still"}).status == http.StatusServiceUnavailable
	})
	w.writeSettings(platformtest.Bounds(nil))
	hangUp()
	w.eventually("served for a second", func() bool {
		for range 100 {
			if w.do(call{path: "/safe/x", id: "after"}).status != http.StatusOK {
				return false
			}
			time.Sleep(10 * time.Millisecond)
		}
		return true
	})
}
