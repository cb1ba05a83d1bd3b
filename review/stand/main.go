// Command stand runs the scripts of the review: it starts the project's daemons as processes of
// their own, with stand-ins of the platform's store, of servers and of clients on loopback.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// world is what every case needs.
type world struct {
	run     *record
	network network
	store   *store
	dir     string
	binary  string
	trouble bool
	routers []*router
	servers []*server
}

var cases = map[string]func(*world) (broken bool, err error){}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER BINARY")
		return exitCannot
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		return exitCannot
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer r.close()
	w := &world{run: r, network: newNetwork(), binary: os.Args[3], trouble: os.Getenv("TROUBLE") != "0"}
	if w.dir, err = os.MkdirTemp("", "review"); err != nil {
		r.sayf("%v", err)
		return exitCannot
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		w.stop()
		r.close()
		os.Exit(exitCannot)
	}()
	defer w.stop()
	if w.store, err = newStore(w.network.ip(1)); err != nil {
		r.sayf("%v", err)
		return exitCannot
	}
	broken, err := play(w)
	switch {
	case err != nil:
		r.sayf("could not run: %v", err)
		return exitCannot
	case broken:
		return exitBroken
	}
	return exitHeld
}

// stop ends all processes that the script started.
func (w *world) stop() {
	for _, r := range w.routers {
		r.stop()
	}
}
