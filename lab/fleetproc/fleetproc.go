// Package fleetproc runs daemons as real processes over loopback, beside a
// platform stand-in, for tests that need signals.
package fleetproc

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	client "github.com/trefoilwell/trefoilwell/daemon/connection/objectstore"
	"github.com/trefoilwell/trefoilwell/daemon/process/operator"
	"github.com/trefoilwell/trefoilwell/daemon/process/settings"
	"github.com/trefoilwell/trefoilwell/daemon/version/change"
	"github.com/trefoilwell/trefoilwell/fleet/process/timeline"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/lab/demo"
	"github.com/trefoilwell/trefoilwell/lab/metastore"
)

// command is the package of the daemon's command.
const command = "github.com/trefoilwell/trefoilwell/daemon/cmd/trefoilwell"

// operatorsToken is the token of the operators' listener.
const operatorsToken = "token"

// pollPause is the pause between two looks at a daemon.
const pollPause = 10 * time.Millisecond

// binary is where the daemon was built, once in a test process.
var binary = sync.OnceValues(func() (string, error) {
	directory, err := os.MkdirTemp("", "trefoilwell")
	if err != nil {
		return "", err
	}
	path := filepath.Join(directory, "trefoilwell")
	build := exec.Command("go", "build", "-o", path, command)
	build.Stderr = os.Stderr
	return path, build.Run()
})

// Fleet is a platform stand-in and the daemons at it.
type Fleet struct {
	Platform    *metastore.Store
	platformURL string
	// PeerAddress returns the address under which a daemon is listed for its
	// peers; default its own.
	PeerAddress func(p *Process) string

	mu  sync.Mutex
	vms []client.VM
}

// New returns a fleet without daemons whose configuration is document.
func New(t testing.TB, document *version.Document) *Fleet {
	t.Helper()
	store := metastore.New()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	// A process that is killed may leave a watch behind.
	t.Cleanup(server.CloseClientConnections)
	f := &Fleet{Platform: store, platformURL: server.URL}
	if err := demo.Publish(t.Context(), client.New(client.Options{URL: server.URL}), document); err != nil {
		t.Fatal(err)
	}
	return f
}

// Process is one daemon.
type Process struct {
	VM        version.VMID
	Callers   string
	Peers     string
	Operators string

	command *exec.Cmd
	ended   chan struct{}
	err     error
}

// Start runs a daemon and waits until it is ready. edit may be nil.
func (f *Fleet) Start(t testing.TB, vm version.VMID, dataCentre version.DataCentreID, edit func(*settings.Settings)) *Process {
	t.Helper()
	path, err := binary()
	if err != nil {
		t.Fatalf("build the daemon: %v", err)
	}
	p := &Process{VM: vm, ended: make(chan struct{})}
	p.command = exec.Command(path, "serve", "--settings", f.settingsFile(t, vm, dataCentre, edit))
	logs, err := p.command.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.end(t) })
	p.readAddresses(t, logs)
	address := p.Peers
	if f.PeerAddress != nil {
		address = f.PeerAddress(p)
	}
	f.list(client.VM{ID: vm, DataCentre: dataCentre, PeerAddress: address, State: client.VMLive})
	p.AwaitReady(t, true)
	return p
}

// Change changes the configuration and puts the result in force.
func (f *Fleet) Change(t testing.TB, edit func(*change.State) error) {
	t.Helper()
	store := client.New(client.Options{URL: f.platformURL})
	if _, err := change.New(change.Options{Store: store}).Change(t.Context(), edit); err != nil {
		t.Fatalf("change the configuration: %v", err)
	}
}

func (f *Fleet) settingsFile(t testing.TB, vm version.VMID, dataCentre version.DataCentreID, edit func(*settings.Settings)) string {
	t.Helper()
	s := settings.Default()
	s.VM, s.DataCentre = vm, dataCentre
	s.Callers.Listen, s.Peers.Listen, s.Operators.Listen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.Callers.DrainGraceMS = 0
	s.Peers.Secret, s.Operators.Token = "secret", operatorsToken
	s.Platform.URL = f.platformURL
	if edit != nil {
		edit(s)
	}
	text, err := toml.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), string(vm)+".toml")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// list adds a VM to the platform's list, or replaces it there.
func (f *Fleet) list(vm client.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	kept := f.vms[:0]
	for _, other := range f.vms {
		if other.ID != vm.ID {
			kept = append(kept, other)
		}
	}
	f.vms = append(kept, vm)
	f.Platform.SetVMs(f.vms)
}

// readAddresses reads the log until the daemon has said where it listens, and
// the rest of it in the background.
func (p *Process) readAddresses(t testing.TB, logs io.Reader) {
	t.Helper()
	lines := bufio.NewScanner(logs)
	for p.Callers == "" {
		if !lines.Scan() {
			t.Fatalf("%s ended before it served", p.VM)
		}
		var line struct{ Msg, Callers, Peers, Operators string }
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Msg == "serving" {
			p.Callers, p.Peers, p.Operators = line.Callers, line.Peers, line.Operators
		}
	}
	go func() {
		for lines.Scan() {
			continue
		}
		p.err = p.command.Wait()
		close(p.ended)
	}()
}

// AwaitReady waits until the daemon says whether it is ready as wanted.
func (p *Process) AwaitReady(t testing.TB, want bool) {
	t.Helper()
	for p.ready(t.Context()) != want {
		select {
		case <-p.ended:
			t.Fatalf("%s ended: %v", p.VM, p.err)
		case <-time.After(pollPause):
		}
	}
}

func (p *Process) ready(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Callers+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// AwaitEvents waits until the daemon's time line has at least count events of
// a kind.
func (p *Process) AwaitEvents(t testing.TB, kind timeline.Kind, count int) {
	t.Helper()
	for p.events(t, kind) < count {
		select {
		case <-p.ended:
			t.Fatalf("%s ended: %v", p.VM, p.err)
		case <-time.After(pollPause):
		}
	}
}

func (p *Process) events(t testing.TB, kind timeline.Kind) int {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+p.Operators+operator.PathTimeline, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+operatorsToken)
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Fatalf("%s: time line answered with status %d", p.VM, response.StatusCode)
	}
	count := 0
	decoder := json.NewDecoder(response.Body)
	for {
		var event timeline.Event
		if err := decoder.Decode(&event); err != nil {
			return count
		}
		if event.Kind == kind {
			count++
		}
	}
}

// Signal sends a signal to this process alone.
func (p *Process) Signal(t testing.TB, signal syscall.Signal) {
	t.Helper()
	if err := p.command.Process.Signal(signal); err != nil {
		t.Fatalf("%s: %v", p.VM, err)
	}
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Wait waits for the process's end and returns its exit code.
func (p *Process) Wait() int {
	<-p.ended
	return p.command.ProcessState.ExitCode()
}

// end kills what still runs at a test's end.
func (p *Process) end(t testing.TB) {
	if !p.Running() {
		return
	}
	p.Signal(t, syscall.SIGKILL)
	<-p.ended
}
