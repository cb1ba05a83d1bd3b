// Package fleetproc runs daemons as real processes on the loopback interface, with a
// fake of the platform's store, for tests that need signals.
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

// daemonPackage is the import path of the daemon's command.
const daemonPackage = "github.com/trefoilwell/trefoilwell/daemon/cmd/trefoilwell"

// operatorsToken is the bearer token for the operators' listener.
const operatorsToken = "token"

// pollInterval is the interval between two checks of a condition that a test waits
// for.
const pollInterval = 10 * time.Millisecond

// Build builds the daemon, once in a test process, and returns the path of its executable.
var Build = sync.OnceValues(func() (string, error) {
	directory, err := os.MkdirTemp("", "trefoilwell")
	if err != nil {
		return "", err
	}
	path := filepath.Join(directory, "trefoilwell")
	build := exec.Command("go", "build", "-o", path, daemonPackage)
	build.Stderr = os.Stderr
	return path, build.Run()
})

// Fleet is a fake of the platform's store and the daemons that use it.
type Fleet struct {
	Platform    *metastore.Store
	platformURL string
	// PeerAddress returns the address at which other daemons find a daemon; default
	// the address of its own peer listener.
	PeerAddress func(p *Process) string

	mu  sync.Mutex
	vms []client.VM
}

// New returns a fleet without daemons and publishes document as its configuration.
func New(t testing.TB, document *version.Document) *Fleet {
	t.Helper()
	store := metastore.New()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	// A killed process may leave a watch open, for which Close would wait.
	t.Cleanup(server.CloseClientConnections)
	f := &Fleet{Platform: store, platformURL: server.URL}
	if err := demo.Publish(t.Context(), client.New(client.Options{URL: server.URL}), document); err != nil {
		t.Fatal(err)
	}
	return f
}

// Process is one daemon process. Its addresses are those of its listeners.
type Process struct {
	VM               version.VMID
	CallersAddress   string
	PeersAddress     string
	OperatorsAddress string

	command *exec.Cmd
	// exited is closed when the process has exited and exitErr is set.
	exited  chan struct{}
	exitErr error
}

// Start starts a daemon and waits until it is ready. edit changes its settings; it may
// be nil.
func (f *Fleet) Start(t testing.TB, vm version.VMID, dataCentre version.DataCentreID, edit func(*settings.Settings)) *Process {
	t.Helper()
	path, err := Build()
	if err != nil {
		t.Fatalf("build the daemon: %v", err)
	}
	p := &Process{VM: vm, exited: make(chan struct{})}
	p.command = exec.Command(path, "serve", "--settings", f.settingsFile(t, vm, dataCentre, edit))
	logs, err := p.command.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.killIfRunning(t) })
	p.readAddresses(t, logs)
	address := p.PeersAddress
	if f.PeerAddress != nil {
		address = f.PeerAddress(p)
	}
	f.listVM(client.VM{ID: vm, DataCentre: dataCentre, PeerAddress: address, State: client.VMLive})
	p.AwaitReady(t, true)
	return p
}

// ChangeConfiguration edits the configuration and publishes the result.
func (f *Fleet) ChangeConfiguration(t testing.TB, edit func(*change.State) error) {
	t.Helper()
	store := client.New(client.Options{URL: f.platformURL})
	if _, err := change.New(change.Options{Store: store}).Change(t.Context(), edit); err != nil {
		t.Fatalf("change the configuration: %v", err)
	}
}

// settingsFile writes the settings of a daemon and returns the file's path.
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

// listVM adds a VM to the platform's list of VMs, or replaces it there.
func (f *Fleet) listVM(vm client.VM) {
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

// readAddresses reads the log until the daemon has logged its addresses, and reads
// and discards the rest in the background, so that the daemon can go on logging.
func (p *Process) readAddresses(t testing.TB, logs io.Reader) {
	t.Helper()
	lines := bufio.NewScanner(logs)
	for p.CallersAddress == "" {
		if !lines.Scan() {
			t.Fatalf("%s exited before it served", p.VM)
		}
		var line struct{ Msg, Callers, Peers, Operators string }
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Msg == "serving" {
			p.CallersAddress, p.PeersAddress, p.OperatorsAddress = line.Callers, line.Peers, line.Operators
		}
	}
	go func() {
		for lines.Scan() {
			continue
		}
		p.exitErr = p.command.Wait()
		close(p.exited)
	}()
}

// AwaitReady waits until the readiness that the daemon reports is want.
func (p *Process) AwaitReady(t testing.TB, want bool) {
	t.Helper()
	for p.ready(t.Context()) != want {
		select {
		case <-p.exited:
			t.Fatalf("%s exited: %v", p.VM, p.exitErr)
		case <-time.After(pollInterval):
		}
	}
}

func (p *Process) ready(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.CallersAddress+"/readyz", nil)
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

// AwaitEvents waits until the daemon's timeline has at least count events of a kind.
func (p *Process) AwaitEvents(t testing.TB, kind timeline.Kind, count int) {
	t.Helper()
	for p.countEvents(t, kind) < count {
		select {
		case <-p.exited:
			t.Fatalf("%s exited: %v", p.VM, p.exitErr)
		case <-time.After(pollInterval):
		}
	}
}

// countEvents returns the number of events of a kind in the daemon's timeline.
func (p *Process) countEvents(t testing.TB, kind timeline.Kind) int {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+p.OperatorsAddress+operator.PathTimeline, nil)
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
		t.Fatalf("%s: request for the timeline got status %d", p.VM, response.StatusCode)
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
		t.Fatalf("%s: send signal: %v", p.VM, err)
	}
}

// PID returns the process's id.
func (p *Process) PID() int { return p.command.Process.Pid }

// Running reports whether the process has not exited.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Wait waits until the process has exited and returns its exit code.
func (p *Process) Wait() int {
	<-p.exited
	return p.command.ProcessState.ExitCode()
}

// killIfRunning kills the process if it still runs at the end of a test.
func (p *Process) killIfRunning(t testing.TB) {
	if !p.Running() {
		return
	}
	p.Signal(t, syscall.SIGKILL)
	<-p.exited
}
