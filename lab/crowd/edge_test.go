package crowd

import (
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"

	"github.com/trefoilwell/trefoilwell/lab/fleetproc"
	"github.com/trefoilwell/trefoilwell/lab/generalupstream"
	"github.com/trefoilwell/trefoilwell/lab/metastore"
	"github.com/trefoilwell/trefoilwell/platform"
	"github.com/trefoilwell/trefoilwell/platform/platformtest"
)

const (
	host   = "calls.example"
	apiKey = "key-of-account"
	// keyHeader authenticates a caller.
	keyHeader = platformtest.HeaderKey + ": " + apiKey + "\r\n" + platformtest.HeaderRequestID + ": r-1\r\n" + platformtest.HeaderDeadline + ": 4000\r\n"
)

// edgeProcess is a daemon of the users' platform, with its listeners' addresses.
type edgeProcess struct {
	process
	callers, readiness, peers, metrics string
}

// startEdge starts a daemon with one upstream and waits until it is ready.
func startEdge(t *testing.T) edgeProcess { return startEdgeWith(t, memoryMB, maxFDs, bodyBytes) }

// startEdgeWith starts a daemon with memory in MB, descriptors, and a limit on bodies in bytes.
func startEdgeWith(t *testing.T, memory, descriptors, maxBodyBytes int) edgeProcess {
	t.Helper()
	binary, err := fleetproc.Build()
	if err != nil {
		t.Fatal(err)
	}
	store, upstream := metastore.New(), generalupstream.New("i-a")
	server := httptest.NewServer(store)
	t.Cleanup(func() { upstream.Close(); store.Close(); server.CloseClientConnections(); server.Close() })
	store.Put(platform.KindUpstream, "i-a", platformtest.Registration("calls", upstream.Address(), platformtest.StateReady, nil))
	route := func(name, kind string) any {
		return platformtest.Route(name, host, "/"+name+"/", kind, "calls", nil)
	}
	config := platformtest.Config(1, []any{
		route("safe", platformtest.KindSafe), route("unsafe", platformtest.KindUnsafe),
		route("stream", platformtest.KindStreaming),
	}, platformtest.Service("calls", nil), "account-1", apiKey)
	config["limits"] = platformtest.Limits(maxBodyBytes)
	store.Put(platform.KindConfig, platform.ConfigName, config)
	p := edgeProcess{callers: freeAddress(t), readiness: freeAddress(t), peers: freeAddress(t), metrics: freeAddress(t)}
	path := filepath.Join(t.TempDir(), "settings.json")
	err = platformtest.Settings{
		VM: "vm-1", CallerAddress: p.callers, ReadinessAddress: p.readiness, PeerAddress: p.peers,
		StoreAddress: server.Listener.Addr().String(), MemoryMB: memory, MaxFDs: descriptors, FirstStart: true, Bounds: platformtest.Bounds(nil),
	}.Write(path)
	if err != nil {
		t.Fatal(err)
	}
	_, port, _ := net.SplitHostPort(p.metrics)
	command := exec.Command(binary, "--log-level", "warn", "serve", "--platform-settings", path, "--metrics-port", port)
	command.Stderr = os.Stderr
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	t.Cleanup(func() {
		// It may have ended.
		_ = command.Process.Kill()
		<-exited
	})
	p.pid = command.Process.Pid
	p.running = func() bool {
		select {
		case <-exited:
			return false
		default:
			return true
		}
	}
	for _, first := range []ordinary{p.probe(), p.call()} {
		if err := first.await(p.process); err != nil {
			t.Fatalf("the daemon does not serve: %v", err)
		}
	}
	return p
}

// call is a caller's ordinary request, and probe the load balancer's.
func (p edgeProcess) call() ordinary {
	return ordinary{p.callers, request(http.MethodPost, host, "/safe/x", keyHeader, "body"), http.StatusOK}
}

func (p edgeProcess) probe() ordinary {
	return ordinary{p.readiness, request(http.MethodGet, host, platform.ReadinessPath, "", ""), http.StatusOK}
}

// freeAddress returns a loopback host:port that was free a moment ago, below the ports of outgoing
// connections.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range 100 {
		nextPort++
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+(os.Getpid()*101+nextPort)%ports))
		listener, err := net.Listen("tcp", address)
		if err == nil {
			listener.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

// firstPort and ports are the ports of the daemons' listeners, and nextPort counts those in use.
const firstPort, ports = 20_000, 12_000

var nextPort int

// Guards against clients outside the limits that end a daemon of the users' platform, or keep
// ordinary callers, the load balancer's probes, links or operators from it: 1,500 unfinished heads at
// the readiness listener ended a process of 112 MB.
func TestCrowdsAtTheUsersPlatform(t *testing.T) {
	for _, place := range []struct {
		name   string
		target func(p edgeProcess) Target
	}{
		{"callers at a safe route", func(p edgeProcess) Target { return p.callersTarget("/safe/x") }},
		{"callers at a streaming route", func(p edgeProcess) Target { return p.callersTarget("/stream/x") }},
		{"callers without a route", func(p edgeProcess) Target { return p.callersTarget("/nowhere") }},
		{"callers at the readiness path", func(p edgeProcess) Target { return p.callersTarget(platform.ReadinessPath) }},
		{"readiness", func(p edgeProcess) Target {
			return Target{Address: p.readiness, Host: host, Path: platform.ReadinessPath, BodyBytes: bodyBytes}
		}},
		{"peers", func(p edgeProcess) Target {
			return Target{Address: p.peers, Host: host, Path: "/peer", BodyBytes: bodyBytes}
		}},
		{"metrics", func(p edgeProcess) Target {
			return Target{Address: p.metrics, Host: host, Path: "/", BodyBytes: bodyBytes}
		}},
	} {
		for _, form := range Forms {
			t.Run(place.name+"/"+form.Name, func(t *testing.T) {
				p := startEdge(t)
				endure(t, p.process, form, place.target(p), []ordinary{
					p.probe(), p.call(),
					{p.peers, request(http.MethodGet, host, "/peer", "", ""), http.StatusUnauthorized},
					{p.metrics, request(http.MethodGet, host, "/", "", ""), http.StatusOK},
				})
			})
		}
	}
}

func (p edgeProcess) callersTarget(path string) Target {
	return Target{Address: p.callers, Host: host, Path: path, Header: keyHeader, BodyBytes: bodyBytes}
}
