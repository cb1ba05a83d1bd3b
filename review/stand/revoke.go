package main

import (
	"fmt"
	"time"
)

func init() { cases["revoke"] = playRevoke }

const (
	// revokeTime is revoke_ms.
	revokeTime = 5 * time.Second
	// unknownKey is a key that no config has held.
	unknownKey = "k7b2ex5wa5xwyhks8nbk"
)

// playRevoke lets the operator take the only tenant, and so its key, out of the config.
func playRevoke(w *world) (bool, error) {
	w.putConfig(modelService, 2, false)
	for i := range 4 {
		if err := w.addServer(newServer(fmt.Sprintf("i-%d", i), versionOne)); err != nil {
			return false, err
		}
	}
	if err := w.startRouters(2, edgeMemoryMB); err != nil {
		return false, err
	}
	load := w.startLoad(20*time.Millisecond, w.stream)
	time.Sleep(4 * time.Second)
	tenants := []any{}
	if !w.trouble {
		tenants = append(tenants, map[string]any{"name": tenant, "api_keys": []string{}})
	}
	w.putVersion(firstVersion+2, modelService, 2, false, tenants)
	acknowledged := time.Now()
	w.run.notef("the store has accepted version %d of the config, with tenants %v", firstVersion+2, tenants)
	before := load.stop()
	time.Sleep(time.Until(acknowledged.Add(revokeTime + time.Second)))
	ran := map[string]int{}
	for i := range 20 {
		for _, k := range []string{key, unknownKey} {
			t := call{front: w.routers[i%len(w.routers)].front(), host: host, path: "/pick/2f", key: k, prompt: promptOf(i), body: "prompt", deadline: streamLimit}.do()
			run := false
			for _, s := range w.servers {
				run = run || s.ran(t.id)
			}
			w.run.notef("client %s with key %s, %.1f s after the ack: status %d, %d events, run by a server: %v", t.id, k, time.Since(acknowledged).Seconds(), t.status, len(t.events), run)
			if run {
				ran[k]++
			}
		}
	}
	w.run.sayf("%d requests before the change; later than revoke_ms after its ack %d of 20 requests ran with the key that was taken away (CONFIG allows none) and %d of 20 with a key that no config ever held (ROUTE allows none)",
		len(before), ran[key], ran[unknownKey])
	return ran[key] > 0 || ran[unknownKey] > 0, nil
}
