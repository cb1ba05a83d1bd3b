package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["odd"] = playOdd }

const (
	// heartbeat is the interval of the check-ins of a server, heartbeat_ms.
	heartbeat = 1200 * time.Millisecond
	deskPath  = "/book/"
)

// playOdd lets another writer put one entry among those of the servers, without version, seq and
// cold_remaining_ms. It has the id and the address of a server of one service and names the other.
func playOdd(w *world) (bool, error) {
	w.putConfig(modelService, 2, false)
	for i := range 3 {
		desk := newServer(fmt.Sprintf("i-desk%d", i), versionOne)
		desk.service, desk.slots = deskService, 6
		if err := w.addServer(desk); err != nil {
			return false, err
		}
	}
	model := newServer("i-model", versionOne)
	if err := w.addServer(model); err != nil {
		return false, err
	}
	if err := w.startRouters(2, edgeMemoryMB); err != nil {
		return false, err
	}
	load := w.startLoad(time.Second/24, func(n int) outcome {
		t := call{front: w.routers[n%len(w.routers)].front(), host: host, path: deskPath + "2f", key: key, body: "a booking", deadline: 2 * time.Second}.do()
		w.run.notef("client %s books: status %d, seal %q, %d bytes, complete %v, %v", t.id, t.status, t.seal, t.body, t.complete, t.failure)
		return outcome{first: t, last: t}
	})
	time.Sleep(4 * time.Second)
	if w.trouble {
		w.run.notef("another writer puts an entry without version, seq and cold_remaining_ms at servers/%s", model.id)
		w.store.put("servers", model.id, map[string]any{
			"service": deskService, "address": model.address, "zone": zone, "slots": 6, "state": "ready",
		})
	}
	time.Sleep(heartbeat)
	// The server's own next check-in.
	w.store.put("servers", model.id, model.entry())
	w.run.notef("server %s writes its own entry again", model.id)
	time.Sleep(4 * time.Second)
	outcomes := load.stop()
	foreign := 0
	for id, path := range model.ranPaths() {
		if strings.HasPrefix(path, deskPath) {
			foreign++
			w.run.notef("request %s, path %s, was run by %s, a server of %s", id, path, model.id, model.service)
		}
	}
	w.run.sayf("%d requests of a route to %s; %d of them run by a server of %s (ROUTE allows none)", len(outcomes), deskService, foreign, model.service)
	return foreign > 0, nil
}
