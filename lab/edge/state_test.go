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

// status sends a request with a new identifier and returns the status of its answer.
func (env *environment) status(path string) int {
	env.t.Helper()
	env.probes++
	return env.do(call{path: path, id: "probe-" + string(rune('a'+env.probes%26)) + time.Now().String()}).status
}

// Guards against a key that is still accepted after it was removed from the configuration.
func TestRemovedKeyIsRefused(t *testing.T) {
	env := start(t, 1, nil)
	if status := env.status("/safe/x"); status != http.StatusOK {
		t.Fatalf("status %d, want 200", status)
	}
	env.configure(func(config map[string]any) {
		config["tenants"].([]any)[0].(map[string]any)["api_keys"] = []string{"other"}
	})
	env.eventually("requests with the removed key are refused", func() bool { return env.status("/safe/x") == http.StatusUnauthorized })
}

// Guards against keys that are accepted without a fresh confirmation by the store, as a
// removal could not be seen. Public routes go on without the store.
func TestKeysAreNotTrustedWithoutTheStore(t *testing.T) {
	for name, faults := range map[string]metastore.Faults{
		"silent":  {Silent: true},
		"refuses": {Refuse: http.StatusTooManyRequests},
	} {
		env := start(t, 1, func(bounds platformtest.Fields) { bounds["revoke_ms"] = 2500 })
		env.store.SetFaults(faults)
		env.eventually(name+": requests with a key are refused", func() bool { return env.status("/safe/x") == http.StatusServiceUnavailable })
		if env.ready() {
			t.Errorf("%s: the daemon is ready although no key can be trusted", name)
		}
		if status := env.status("/open/x"); status != http.StatusOK {
			t.Errorf("%s: public route: status %d, want 200", name, status)
		}
		env.store.SetFaults(metastore.Faults{})
		env.eventually(name+": requests with a key are served again", func() bool { return env.status("/safe/x") == http.StatusOK })
	}
}

// Guards against requests to an upstream that is draining or deregistered.
func TestDrainingOrDeregisteredUpstreamGetsNoRequests(t *testing.T) {
	env := start(t, 2, nil)
	env.register(env.upstreams[0], "calls", platformtest.StateDraining)
	env.eventually("the draining upstream gets no requests", func() bool {
		before := len(env.upstreams[0].Runs())
		for range 6 {
			env.status("/safe/x")
		}
		return len(env.upstreams[0].Runs()) == before
	})
	env.register(env.upstreams[0], "calls", platformtest.StateReady)
	env.store.Remove(platform.KindUpstream, env.upstreams[1].Instance)
	env.eventually("the deregistered upstream gets no requests", func() bool {
		before := len(env.upstreams[1].Runs())
		for range 6 {
			if env.status("/safe/x") != http.StatusOK {
				return false
			}
		}
		return len(env.upstreams[1].Runs()) == before
	})
}

// Guards against execution by another process that listens at a registered address, such
// as one that has taken the port after a restart.
func TestAnotherProcessAtTheAddressExecutesNothing(t *testing.T) {
	env := start(t, 1, nil)
	env.upstreams[0].Instance = "i-new"
	got := env.do(call{path: "/unsafe/x", id: "moved"})
	if got.status != http.StatusServiceUnavailable || len(env.runs("moved")) != 0 {
		t.Errorf("status %d, %d executions, want 503 and none", got.status, len(env.runs("moved")))
	}
}

// Guards against malformed registrations, or the evacuation of another data centre, that
// affect other upstreams.
func TestMalformedRegistrationDoesNotAffectOtherUpstreams(t *testing.T) {
	env := start(t, 1, nil)
	env.store.Put(platform.KindUpstream, "i-odd", "no object")
	env.store.Put(platform.KindUpstream, "i-half", map[string]any{"service": "calls", "slots": "many"})
	env.store.Put(platform.KindEvacuation, "dc-other", map[string]any{})
	for range 5 {
		if status := env.status("/safe/x"); status != http.StatusOK {
			t.Fatalf("status %d, want 200", status)
		}
	}
}

// Guards against changes that are missed for good when the store has dropped the history
// that a watch would have to continue from.
func TestChangesInADroppedHistoryAreSeen(t *testing.T) {
	env := start(t, 2, nil)
	env.store.SetFaults(metastore.Faults{WithholdEvents: true})
	env.store.Remove(platform.KindUpstream, env.upstreams[0].Instance)
	env.store.DropHistory()
	env.store.SetFaults(metastore.Faults{})
	env.eventually("the deregistered upstream gets no requests", func() bool {
		before := len(env.upstreams[0].Runs())
		for range 6 {
			env.status("/safe/x")
		}
		return len(env.upstreams[0].Runs()) == before
	})
}

// Guards against requests in an evacuated data centre, and against an evacuation that
// outlasts its entry in the store.
func TestEvacuatedDataCentreGetsNoRequestsUntilItIsBackInService(t *testing.T) {
	env := start(t, 1, nil)
	env.store.Put(platform.KindEvacuation, platformtest.DataCentre, map[string]any{})
	env.eventually("requests are refused", func() bool { return env.status("/safe/x") == http.StatusServiceUnavailable })
	env.store.Remove(platform.KindEvacuation, platformtest.DataCentre)
	env.eventually("requests are served again", func() bool { return env.status("/safe/x") == http.StatusOK })
}

// Guards against replacing the applied configuration by an older version or by a malformed
// one.
func TestOlderOrMalformedConfigurationIsNotApplied(t *testing.T) {
	env := start(t, 1, nil)
	env.configure(nil)
	env.configure(func(config map[string]any) {
		route := config["routes"].([]any)[0].(map[string]any)
		newRoute := make(map[string]any)
		for name, value := range route {
			newRoute[name] = value
		}
		newRoute["name"], newRoute["path_prefix"] = "new", "/new/"
		config["routes"] = append(config["routes"].([]any), newRoute)
	})
	env.eventually("the new route is applied", func() bool { return env.status("/new/x") == http.StatusOK })
	env.configVersion = 0
	env.configure(nil)
	env.store.Put(platform.KindConfig, platform.ConfigName, "malformed")
	deadline := time.Now().Add(2500 * time.Millisecond)
	for time.Now().Before(deadline) {
		if status := env.status("/new/x"); status != http.StatusOK {
			t.Fatalf("status %d of the new route after an older version was written, want 200", status)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against a drain that truncates running requests, or refuses those that arrive
// during the grace period. Their answers announce that the connection is closed.
func TestDrainCompletesAllRequests(t *testing.T) {
	env := start(t, 1, func(bounds platformtest.Fields) { bounds["grace_s"] = 20 })
	env.setFaults(generalupstream.Faults{Pause: 150 * time.Millisecond})
	request, err := http.NewRequest(http.MethodPost, "http://"+env.callers+"/stream/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = host
	request.Header.Set(platformtest.HeaderRequestID, "running")
	request.Header.Set(platformtest.HeaderKey, key)
	answer, err := env.client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	env.stop()
	env.eventually("the daemon is not ready", func() bool { return !env.ready() })
	duringDrain := env.do(call{path: "/safe/x", id: "late"})
	if duringDrain.status != http.StatusOK || !duringDrain.closesConn {
		t.Errorf("answer during the drain is %+v, want status 200 on a connection that is closed", duringDrain)
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil || string(body) != generalupstream.CompleteStream() {
		t.Errorf("the stream was truncated: body %q, error %v", body, err)
	}
}

// Guards against settings that are not applied on SIGHUP, and against malformed settings
// that replace the last valid ones.
func TestSettingsAreReadAgainOnSIGHUP(t *testing.T) {
	env := start(t, 1, nil)
	if got := env.do(call{path: "/safe/x", id: "before"}); got.status != http.StatusOK {
		t.Fatalf("status %d, error %v, want 200", got.status, got.err)
	}
	// With a bound this short, keys are trusted for only 0.1 s after each read of the
	// store.
	bounds := platformtest.Bounds(nil)
	bounds["revoke_ms"] = 600
	env.writeSettings(bounds)
	sendSIGHUP := func() {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	sendSIGHUP()
	env.eventually("the short bound is applied", func() bool {
		return env.do(call{path: "/safe/x", id: "bound"}).status == http.StatusServiceUnavailable
	})
	if err := os.WriteFile(env.settingsPath, []byte(`{"node":`), 0o600); err != nil {
		t.Fatal(err)
	}
	sendSIGHUP()
	env.eventually("the last valid settings remain applied", func() bool {
		return env.do(call{path: "/safe/x", id: "still"}).status == http.StatusServiceUnavailable
	})
	env.writeSettings(platformtest.Bounds(nil))
	sendSIGHUP()
	env.eventually("requests are served for a second", func() bool {
		for range 100 {
			if env.do(call{path: "/safe/x", id: "after"}).status != http.StatusOK {
				return false
			}
			time.Sleep(10 * time.Millisecond)
		}
		return true
	})
}

// Guards against a configuration whose last account is removed and that then lets every request
// through: 20 of 20 requests with the revoked key and 20 of 20 with an unknown one ran.
func TestLastAccountRemovedClosesTheRoutes(t *testing.T) {
	for name, accounts := range map[string]any{"empty list": []any{}, "null": nil} {
		t.Run(name, func(t *testing.T) {
			env := start(t, 1, nil)
			if status := env.status("/safe/x"); status != http.StatusOK {
				t.Fatalf("status %d, want 200", status)
			}
			env.configure(func(config map[string]any) { config["tenants"] = accounts })
			env.eventually("requests with the removed key are refused", func() bool { return env.status("/safe/x") == http.StatusUnauthorized })
			for _, other := range []string{"unknown", ""} {
				if got := env.do(call{path: "/unsafe/x", id: "key-" + other, header: map[string]string{platformtest.HeaderKey: other}}); got.status != http.StatusUnauthorized {
					t.Errorf("key %q: status %d, want 401", other, got.status)
				}
			}
			if status := env.status("/open/x"); status != http.StatusOK {
				t.Errorf("public route: status %d, want 200", status)
			}
		})
	}
}

// Guards against a configuration that no longer mentions accounts and thereby admits the keys that
// earlier versions revoked. Without accounts requests carry no key, and those run.
func TestConfigurationWithoutAccountsAdmitsNoKey(t *testing.T) {
	env := start(t, 1, nil)
	env.configure(func(config map[string]any) { delete(config, "tenants") })
	keyless := call{path: "/safe/x", id: "keyless", header: map[string]string{platformtest.HeaderKey: ""}}
	env.eventually("requests without a key run", func() bool { return env.do(keyless).status == http.StatusOK })
	for _, path := range []string{"/safe/x", "/unsafe/x"} {
		if status := env.status(path); status != http.StatusUnauthorized {
			t.Errorf("%s with the key of an earlier version: status %d, want 401", path, status)
		}
	}
	if status := env.status("/open/x"); status != http.StatusOK {
		t.Errorf("public route: status %d, want 200", status)
	}
	env.configure(nil)
	env.eventually("requests without a key are refused again", func() bool { return env.do(keyless).status == http.StatusUnauthorized })
}
