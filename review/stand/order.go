package main

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

func init() { cases["order"] = playOrder }

const (
	orderRounds = 6
	orderPeriod = 8 * time.Second
	// orderHang is how long a server hangs before its process ends, and orderDown how long it is
	// down then.
	orderHang, orderDown = 300 * time.Millisecond, 2 * time.Second
	// The machine's process is killed orderGap after the server's end, or up to orderSpread later.
	orderGap, orderSpread = 25 * time.Millisecond, 20 * time.Millisecond
)

// playOrder lets servers of two software versions serve side by side. In each round a server of the
// one hangs and ends, and a moment later the process of a machine is killed, each time of the same one.
func playOrder(w *world) (bool, error) {
	w.putConfig(modelService, 2, true)
	for i, v := range []string{versionOne, versionOne, versionTwo, versionTwo, versionTwo} {
		if err := w.addServer(newServer(fmt.Sprintf("i-%d", i), v)); err != nil {
			return false, err
		}
	}
	if err := w.startRouters(2, edgeMemoryMB); err != nil {
		return false, err
	}
	load := w.startLoad(5*time.Millisecond, w.stream)
	for round := range orderRounds {
		time.Sleep(orderPeriod)
		if !w.trouble {
			continue
		}
		s, r := w.servers[round%2], w.routers[0]
		s.hang()
		time.Sleep(orderHang)
		s.crash()
		time.Sleep(orderGap + rand.N(orderSpread))
		w.run.notef("SIGKILL to %s", r.name)
		r.signal(syscall.SIGKILL)
		time.Sleep(orderDown)
		if err := s.start(""); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second)
	return w.judgeOrder(load.stop()), nil
}
