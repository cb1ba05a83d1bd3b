package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["drill"] = playDrill }

const (
	// keptKey is the tenant's key that stays.
	keptKey = "q2vxm4rr7c9dz0tb6wfe"
	// copyAge is how old the copy is when the store returns from it the second time.
	copyAge = 8900 * time.Millisecond
	// drillTime is how long the store is away, drillPause the time from its first return to the next
	// drill, and writtenAgain the time after a return at which the operator has written again.
	drillTime, drillPause, writtenAgain = 2 * time.Second, 600 * time.Millisecond, 500 * time.Millisecond
	// killLead is how long before the first return a process is killed.
	killLead = 550 * time.Millisecond
)

// playDrill takes one of two keys of a tenant away. Two drills follow, in which the store returns from
// a copy that holds the key, and the operator writes the config again each time. In the first one the
// process of a machine is killed.
func playDrill(w *world) (bool, error) {
	tenants := func(keys ...string) []any { return []any{map[string]any{"name": tenant, "api_keys": keys}} }
	w.putVersion(firstVersion, modelService, 2, false, tenants(key, keptKey))
	for i := range 4 {
		if err := w.addServer(newServer(fmt.Sprintf("i-%d", i), versionOne)); err != nil {
			return false, err
		}
	}
	if err := w.startRouters(3, edgeMemoryMB); err != nil {
		return false, err
	}
	older, copiedAt := w.store.copy(), time.Now()
	revoke := func() {
		w.putVersion(firstVersion+2, modelService, 2, false, tenants(keptKey))
		w.run.notef("the store has accepted version %d of the config, without key %s", firstVersion+2, key)
	}
	revoke()
	revoked := time.Now()
	request := func(key string) func(n int) outcome {
		return func(n int) outcome {
			c := call{front: w.routers[n%len(w.routers)].front(), host: host, path: "/pick/2f", key: key, prompt: promptOf(n), body: "prompt", deadline: streamLimit}
			sent := time.Now()
			t := c.do()
			w.run.notef("client %s with key %s, sent %.1f s after the ack to %s: status %d, %d events, %v",
				t.id, key, sent.Sub(revoked).Seconds(), w.routers[n%len(w.routers)].name, t.status, len(t.events), t.failure)
			return outcome{first: t, last: t, seen: t.events}
		}
	}
	drill := func(kill bool) {
		w.run.notef("the store is away")
		w.store.setDown(true)
		time.Sleep(drillTime - killLead)
		if kill {
			w.run.notef("SIGKILL to %s", w.routers[0].name)
			w.routers[0].signal(syscall.SIGKILL)
		}
		time.Sleep(killLead)
		w.store.returnFrom(older)
		w.run.notef("the store is back, as it was %.1f s ago", time.Since(copiedAt).Seconds())
		time.Sleep(writtenAgain)
		revoke()
	}
	kept := w.startLoad(20*time.Millisecond, request(keptKey))
	started := make(chan *load, 1)
	time.AfterFunc(time.Until(revoked.Add(revokeTime+100*time.Millisecond)), func() {
		started <- w.startLoad(10*time.Millisecond, request(key))
	})
	time.Sleep(time.Until(copiedAt.Add(copyAge - 2*drillTime - drillPause)))
	if w.trouble {
		drill(true)
		time.Sleep(drillPause - writtenAgain)
		drill(false)
	}
	time.Sleep(time.Until(copiedAt.Add(copyAge + 5*time.Second)))
	late := <-started
	taken, others := late.stop(), kept.stop()
	ran, whole := 0, 0
	for _, o := range taken {
		for _, s := range w.servers {
			if s.ran(o.first.id) {
				ran++
				w.run.notef("request %s with the key that was taken away was run by %s", o.first.id, s.id)
			}
		}
	}
	for _, o := range others {
		if o.last.complete && len(o.seen) > 0 {
			whole++
		}
	}
	w.run.sayf("%d requests with the key that was taken away, sent later than revoke_ms after the ack; %d of them ran (CONFIG allows none); %d of %d requests with the other key got their streams",
		len(taken), ran, whole, len(others))
	return ran > 0, nil
}
