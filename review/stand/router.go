package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
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

const (
	frontPort, readyPort, controlPort = "8783", "8780", "8785"
	// restartDelay is the pause before the platform starts a process again that has ended.
	restartDelay = 500 * time.Millisecond
	// memoryPoll is the time between two looks at the memory of a process.
	memoryPoll = 20 * time.Millisecond
	zone       = "brisbane-a"
	region     = "brisbane"
)

// network gives out loopback addresses that no other run of a script uses.
type network struct{ prefix string }

func newNetwork() network {
	return network{fmt.Sprintf("127.%d.%d.", 16+rand.IntN(200), rand.IntN(250))}
}

func (n network) ip(i int) string { return n.prefix + strconv.Itoa(i) }

// router is one process of the system, with the platform's part in running it: it starts the
// process again after an end and kills it when it exceeds its memory.
type router struct {
	name, ip, dir, binary, settings string
	memoryMB                        int
	run                             *record

	mu      sync.Mutex
	command *exec.Cmd
	stopped bool
	// peakKB is the most memory seen, and ends the ends by memory.
	peakKB, ends int
	exited       chan struct{}
}

func newRouter(run *record, n network, i int, dir, binary, storeAddress string, memoryMB int) *router {
	return &router{
		name: "edge-" + zone + "-" + strconv.Itoa(i), ip: n.ip(10 + i), dir: dir, binary: binary, memoryMB: memoryMB, run: run,
		settings: storeAddress,
	}
}

func (r *router) front() string { return net.JoinHostPort(r.ip, frontPort) }

// writeSettings writes the platform's settings file as the deploy page shows it.
func (r *router) writeSettings(bootstrap bool) (string, error) {
	path := filepath.Join(r.dir, r.name+".json")
	text, err := json.Marshal(map[string]any{
		"node": r.name, "role": "router", "machine_class": "edge", "serves": []string{"edge"},
		"ip": r.ip, "zone": zone, "region": region, "zones": map[string]string{zone: region},
		"listen":         map[string]string{"front": r.front(), "readiness_address": net.JoinHostPort(r.ip, readyPort), "control": net.JoinHostPort(r.ip, controlPort)},
		"internal_ports": []int{7400, 7415}, "seeds": []string{}, "bootstrap": bootstrap, "fault_counted": false,
		"limits":   map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": r.memoryMB, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform"},
		"fault_tolerance": map[string]int{"machines": 2, "zones": 1, "regions": 1},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2500, "grace_s": 8,
			"loss_slack_ms": 200, "config_apply_ms": 2500, "rollback_slack_ms": 250, "max_skew_ms": 5000, "strict_revoke": true,
			"revoke_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 52, "cold_overage": 1.5, "cold_slack": 5,
			"evacuation_ms": 5000, "recovery_s": 12, "pass_ms": 200, "reuse_window_s": 4.9, "quota_window_s": 4,
		},
		"platform": map[string]any{"address": r.settings, "form": "objects", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000},
	})
	if err != nil {
		return "", err
	}
	return path, os.WriteFile(path, text, 0o600)
}

// start starts the process with the command of the deploy file.
func (r *router) start(bootstrap bool) error {
	path, err := r.writeSettings(bootstrap)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(r.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(r.binary, "serve", "--metrics-port", "7410")
	command.Env = append(os.Environ(), "TREFOILWELL_NODE_FILE="+path)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	r.mu.Lock()
	r.command, r.exited = command, make(chan struct{})
	exited := r.exited
	r.mu.Unlock()
	go r.limitMemory(command.Process, exited)
	go func() {
		_ = command.Wait()
		close(exited)
		r.run.notef("platform: %s ended: %s", r.name, command.ProcessState)
		time.Sleep(restartDelay)
		r.mu.Lock()
		stopped := r.stopped
		r.mu.Unlock()
		if !stopped {
			if err := r.start(false); err != nil {
				r.run.notef("platform: %s does not start: %v", r.name, err)
			}
		}
	}()
	return nil
}

// limitMemory kills the process when it exceeds its memory, as the platform does.
func (r *router) limitMemory(process *os.Process, exited chan struct{}) {
	for {
		select {
		case <-exited:
			return
		case <-time.After(memoryPoll):
		}
		kb := anonymousKB(process.Pid)
		r.mu.Lock()
		r.peakKB = max(r.peakKB, kb)
		over := kb > r.memoryMB*1024
		if over {
			r.ends++
		}
		r.mu.Unlock()
		if over {
			r.run.notef("platform: %s has %d KB, over its memory_mb = %d: killed", r.name, kb, r.memoryMB)
			_ = process.Kill()
			return
		}
	}
}

// anonymousKB returns the anonymous memory of a process. Its whole memory, which the platform
// counts, is larger: the program's text and what is received and not yet read belong to it.
func anonymousKB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb
		}
	}
	return 0
}

func (r *router) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.command != nil {
		_ = r.command.Process.Signal(s)
	}
}

// stop ends the process for good.
func (r *router) stop() {
	r.mu.Lock()
	r.stopped = true
	exited := r.exited
	r.mu.Unlock()
	r.signal(syscall.SIGKILL)
	if exited != nil {
		<-exited
	}
}

// ready asks the process as the load balancer does.
func (r *router) ready() bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + net.JoinHostPort(r.ip, readyPort) + "/-/readiness")
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

func awaitReady(routers []*router, limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, r := range routers {
			all = all && r.ready()
		}
		if all {
			return true
		}
	}
	return false
}
