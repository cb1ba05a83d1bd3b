package main

import (
	"fmt"
	"time"
)

func init() { cases["reborn"] = playReborn }

const (
	// rebornOutage is how long the store is down, at most 4.5 s in the site file.
	rebornOutage = 4500 * time.Millisecond
	// rebornDown is how long a crashed server is down.
	rebornDown = 300 * time.Millisecond
	// versionOne and versionTwo are the software versions of the service's servers.
	versionOne, versionTwo = "one", "two"
)

// playReborn lets a release end: seven of nine servers have the new software version. The last two
// end one after the other, and start again under their ids with the new version. Meanwhile the
// store is down, so that they cannot say so.
func playReborn(w *world) (bool, error) {
	w.putConfig(modelService, 2, true)
	for i := range 9 {
		v := versionTwo
		if i < 2 {
			v = versionOne
		}
		if err := w.addServer(newServer(fmt.Sprintf("i-%d", i), v)); err != nil {
			return false, err
		}
	}
	if err := w.startRouters(2, edgeMemoryMB); err != nil {
		return false, err
	}
	load := w.startLoad(10*time.Millisecond, w.stream)
	time.Sleep(8 * time.Second)
	if w.trouble {
		w.run.notef("the store is down")
		w.store.setDown(true)
	}
	back := time.After(rebornOutage)
	for i := range 2 {
		time.Sleep(500 * time.Millisecond)
		s := w.servers[i]
		s.crash()
		time.Sleep(rebornDown)
		s.version = versionTwo
		if err := s.start(""); err != nil {
			return false, err
		}
		w.run.notef("server %s starts again under its id, version %s", s.id, s.version)
		time.Sleep(1200 * time.Millisecond)
	}
	<-back
	w.run.notef("the store is back")
	w.store.setDown(false)
	time.Sleep(5 * time.Second)
	return w.judgeOrder(load.stop()), nil
}
