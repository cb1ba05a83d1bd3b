package main

import (
	"errors"
	"fmt"
	"time"
)

const (
	host = "desk.example"
	// modelService and deskService are the services.
	modelService, deskService = "polish-model", "crew-desk"
	tenant                    = "hule930"
	key                       = "asnmgkcuyj8pjbvk9m68"
	// readyLimit is how long the processes may take to become ready, and settleTime how long they
	// get then to link with each other.
	readyLimit, settleTime = 20 * time.Second, 2 * time.Second
	// edgeMemoryMB is the memory of a machine, as in the site file.
	edgeMemoryMB = 134
)

// putConfig writes a config with one tenant, a streaming route to a service and a route to another one.
func (w *world) putConfig(service string, attempts int, resumable bool) {
	w.putVersion(firstVersion, service, attempts, resumable, []any{map[string]any{"name": tenant, "api_keys": []string{key}}})
}

// firstVersion is the version of the first config.
const firstVersion = 7

// putVersion writes a version of the config with some tenants.
func (w *world) putVersion(version int, service string, attempts int, resumable bool, tenants []any) {
	w.store.put("config", "main", map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{
				"name": "pick", "host": host, "path_prefix": "/pick/", "kind": "streaming", "timeout_ms": streamLimit.Milliseconds(),
				"target_latency_ms": 400, "priority": 1, "service": service, "max_attempts": attempts, "public": false, "sticky": true, "resumable": resumable,
				"target_gap_ms": 300, "allowed_regions": []string{},
			},
			map[string]any{
				"name": "book", "host": host, "path_prefix": deskPath, "kind": "unsafe", "timeout_ms": 2000,
				"target_latency_ms": 300, "priority": 2, "service": deskService, "max_attempts": 1, "public": false, "sticky": false, "resumable": false,
				"allowed_regions": []string{},
			},
		},
		"services": []any{
			map[string]any{
				"name": service, "max_connections": 610, "cold_start_s": 0, "cold_per_s": 0, "health_path": "/health",
				"engine": map[string]any{"slots": 128, "kv_capacity_tokens": 330327, "stride": 5},
			},
			map[string]any{"name": deskService, "max_connections": 96, "cold_start_s": 0, "cold_per_s": 0, "health_path": "/health"},
		},
		"tenants": tenants,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 60000, "tokens_per_s": 400000},
	})
}

// startRouters starts the processes and waits until all of them are ready.
func (w *world) startRouters(count, memoryMB int) error {
	for i := range count {
		r := newRouter(w.run, w.network, i, w.dir, w.binary, w.store.address, memoryMB)
		w.routers = append(w.routers, r)
		if err := r.start(true); err != nil {
			return err
		}
	}
	if !awaitReady(w.routers, readyLimit) {
		return errors.New("the processes are not ready")
	}
	time.Sleep(settleTime)
	return nil
}

// newServer returns a server whose streams have 20 events and last a second.
func newServer(id, version string) *server {
	return &server{id: id, service: modelService, version: version, slots: 128, events: 20, first: 5 * time.Millisecond, gap: 50 * time.Millisecond}
}

func (w *world) addServer(s *server) error {
	s.run, s.store, s.runs = w.run, w.store, make(map[string]string)
	w.servers = append(w.servers, s)
	return s.start(w.network.ip(100 + len(w.servers)))
}

// promptOf returns a prompt with one of forty shared parts and a part of its own.
func promptOf(i int) string { return fmt.Sprintf("%08x:400,%08x:200", 0x5c1e0000+i%40, 0x10000000+i) }
