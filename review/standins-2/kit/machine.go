package kit

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Fields are the fields of a JSON object.
type Fields = map[string]any

// Ports of every machine, as the pages name them; all machines of a day have the same ones.
const (
	frontPort     = 8783
	readinessPort = 8780
	controlPort   = 8785
	firstInternal = 7400
	lastInternal  = 7415
	storePort     = 8781
	serverPort    = 8080
	metricsPort   = 7410
)

// Network gives out loopback addresses whose ports are free.
type Network struct {
	prefix string
	mu     sync.Mutex
	next   int
}

// NewNetwork returns a network in a part of 127.0.0.0/8 that nobody uses.
func NewNetwork() *Network {
	pid := os.Getpid()
	return &Network{prefix: fmt.Sprintf("127.%d.%d.", 32+pid%200, 1+(pid/200)%250), next: 1}
}

// IP returns the next address at which none of the ports is in use.
func (n *Network) IP() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	for {
		ip := n.prefix + strconv.Itoa(n.next)
		n.next++
		if free(ip) {
			return ip
		}
	}
}

func free(ip string) bool {
	for _, port := range []int{frontPort, readinessPort, controlPort, firstInternal, metricsPort, storePort, serverPort} {
		listener, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// StoreAddress returns the address of a store at ip.
func StoreAddress(ip string) string { return net.JoinHostPort(ip, strconv.Itoa(storePort)) }

// Site is what the settings of all machines of a deployment have in common.
type Site struct {
	Root     string
	Dir      string
	Store    string
	Zones    map[string]string
	Bounds   Fields
	MemoryMB int
	CPUShare float64
}

// Machine is a machine of the system that runs the project's program.
type Machine struct {
	Name, Zone, IP string
	site           *Site

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// ExitedAt is when the present process ended; zero while it runs.
	exitedAt time.Time
}

// NewMachine returns a machine that is not started.
func (s *Site) NewMachine(name, zone, ip string) *Machine {
	return &Machine{Name: name, Zone: zone, IP: ip, site: s}
}

// Front returns the host:port for clients.
func (m *Machine) Front() string { return net.JoinHostPort(m.IP, strconv.Itoa(frontPort)) }

// Start starts the program with the command of the deploy file. bootstrap says that the whole system
// starts for the first time.
func (m *Machine) Start(bootstrap bool) error {
	s := m.site
	address := func(port int) string { return net.JoinHostPort(m.IP, strconv.Itoa(port)) }
	settings := Fields{
		"node": m.Name, "role": "router", "machine_class": "edge", "serves": []string{"edge"}, "ip": m.IP,
		"zone": m.Zone, "region": s.Zones[m.Zone], "zones": s.Zones,
		"listen":         Fields{"front": address(frontPort), "readiness_address": address(readinessPort), "control": address(controlPort)},
		"internal_ports": []int{firstInternal, lastInternal}, "seeds": []string{}, "bootstrap": bootstrap, "fault_counted": false,
		"limits":   Fields{"cpu_share": s.CPUShare, "cores": 1, "memory_mb": s.MemoryMB, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform"},
		"fault_tolerance": Fields{"machines": 2, "zones": 1, "regions": 1}, "bounds": s.Bounds,
		"platform": Fields{"address": s.Store, "form": "objects", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000},
	}
	text, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(s.Dir, m.Name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(s.Dir, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	command := exec.Command(filepath.Join(s.Root, "target", "trefoilwell"), "serve", "--metrics-port", strconv.Itoa(metricsPort))
	command.Dir, command.Stdout, command.Stderr = s.Root, logFile, logFile
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "TREFOILWELL_NODE_FILE=" + path}
	// No process outlives this one.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.command, m.exited, m.exitedAt = command, exited, time.Time{}
	m.mu.Unlock()
	go func() {
		_ = command.Wait()
		m.mu.Lock()
		m.exitedAt = time.Now()
		m.mu.Unlock()
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (m *Machine) Signal(signal syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command != nil {
		_ = m.command.Process.Signal(signal)
	}
}

// Exited returns a channel that is closed once the present process has ended.
func (m *Machine) Exited() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.exited
}

// ExitedAt returns when the present process ended; zero while it runs.
func (m *Machine) ExitedAt() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.exitedAt
}

// Kill kills the process and waits for its end.
func (m *Machine) Kill() {
	m.mu.Lock()
	command, exited := m.command, m.exited
	m.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill()
	<-exited
}

// AnonymousBytes returns the anonymous memory of the process; 0 if it has ended.
func (m *Machine) AnonymousBytes() int64 {
	m.mu.Lock()
	command := m.command
	m.mu.Unlock()
	if command == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, found := strings.CutPrefix(line, "RssAnon:"); found {
			kb, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
			return kb << 10
		}
	}
	return 0
}

// Ready reports whether the machine says that it is ready.
func (m *Machine) Ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + net.JoinHostPort(m.IP, strconv.Itoa(readinessPort)) + "/-/readiness")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// AwaitReady waits until the machine is ready.
func (m *Machine) AwaitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if m.Ready() {
			return nil
		}
	}
	return errors.New(m.Name + " did not become ready")
}
