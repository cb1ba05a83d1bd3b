package crowd

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/trefoilwell/trefoilwell/daemon/connection/tlsfiles"
	"github.com/trefoilwell/trefoilwell/daemon/process/settings"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/lab/engine"
	"github.com/trefoilwell/trefoilwell/lab/fleetproc"
)

const (
	bearer = "Authorization: Bearer " + apiKey + "\r\n"
	// model is the model of the only pool.
	model = "m"
)

// startApp starts a daemon of the product's own deployment with one engine. Its operators' listener
// uses TLS if files are given.
func startApp(t *testing.T, files tlsfiles.Files) (*fleetproc.Process, process) {
	t.Helper()
	server := httptest.NewServer(engine.New(engine.Options{ColdLimit: 4}))
	t.Cleanup(server.Close)
	fleet := fleetproc.New(t, &version.Document{
		DataCentres: []version.DataCentreSpec{{Name: "north", Region: "one"}},
		Accounts:    []version.AccountSpec{{Name: "counters", KeyDigests: []string{version.KeyDigest(apiKey)}, MaxWaiting: 10_000}},
		Pools:       []version.PoolSpec{{Name: "polish", Kind: version.PoolModel, Models: []string{model}}},
		Upstreams: []version.UpstreamSpec{{
			Name: "north-1", Pool: "polish", DataCentre: "north", Address: server.Listener.Addr().String(), Team: "advice",
			ColdLimit: 4, WarmLimit: 4,
		}},
		Presets: []version.PresetSpec{{Name: "ordinary"}},
	})
	p := fleet.Start(t, "vm-1", "north", func(s *settings.Settings) {
		s.Limits.MemoryMB, s.Limits.MaxFDs = memoryMB, maxFDs
		s.Operators.TLS = files
	})
	return p, process{p.PID(), p.Running}
}

// appCall is a caller's ordinary request.
func appCall(p *fleetproc.Process) ordinary {
	return ordinary{p.CallersAddress, request(http.MethodPost, host, "/v1/chat/completions", bearer,
		`{"model":"`+model+`","max_tokens":2,"messages":[{"role":"user","content":"x"}]}`), http.StatusOK}
}

// Guards against clients outside the limits that end a daemon of the product's own deployment, or keep
// ordinary callers, probes, links or operators from it.
func TestCrowdsAtTheProduct(t *testing.T) {
	for _, place := range []struct {
		name, path string
		header     string
		address    func(p *fleetproc.Process) string
	}{
		{"callers at a model", "/v1/chat/completions", bearer, func(p *fleetproc.Process) string { return p.CallersAddress }},
		{"callers without a key", "/services/nowhere", "", func(p *fleetproc.Process) string { return p.CallersAddress }},
		{"callers at the readiness path", "/readyz", "", func(p *fleetproc.Process) string { return p.CallersAddress }},
		{"peers", "/peer", "", func(p *fleetproc.Process) string { return p.PeersAddress }},
		{"operators", "/v1/status", "", func(p *fleetproc.Process) string { return p.OperatorsAddress }},
	} {
		for _, form := range Forms {
			t.Run(place.name+"/"+form.Name, func(t *testing.T) {
				p, daemon := startApp(t, tlsfiles.Files{})
				endure(t, daemon, form, Target{Address: place.address(p), Host: host, Path: place.path, Header: place.header, BodyBytes: bodyBytes}, []ordinary{
					appCall(p),
					{p.CallersAddress, request(http.MethodGet, host, "/readyz", "", ""), http.StatusOK},
					{p.PeersAddress, request(http.MethodGet, host, "/peer", "", ""), http.StatusUnauthorized},
					{p.OperatorsAddress, request(http.MethodGet, host, "/v1/status", "Authorization: Bearer token\r\n", ""), http.StatusOK},
				})
			})
		}
	}
}
