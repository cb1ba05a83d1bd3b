package kit

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Run is one run of a case.
type Run struct {
	// Root is the root of the repository, Dir a temporary folder, and Trouble the variable TROUBLE.
	Root, Dir, Trouble string

	mu      sync.Mutex
	file    *os.File
	started time.Time
	ends    []func()
}

// Main runs a case and exits with its code. arguments are the repository's root and the case's folder.
func Main(play func(r *Run) (int, error)) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: CASE ROOT FOLDER")
		os.Exit(NotRun)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	trouble := os.Getenv("TROUBLE")
	if trouble == "" {
		trouble = "1"
	}
	r := &Run{Root: os.Args[1], Dir: dir, Trouble: trouble, file: file, started: time.Now()}
	r.Note("TROUBLE=%s", trouble)
	code, err := play(r)
	if err != nil {
		code = NotRun
		r.Note("could not run: %v", err)
	}
	for i := len(r.ends) - 1; i >= 0; i-- {
		r.ends[i]()
	}
	r.Note("exit %d", code)
	_ = file.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println("logs:", dir)
	}
	os.Exit(code)
}

// Note adds a line to the record, with the time since the run began.
func (r *Run) Note(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, arguments...))
	_, _ = r.file.WriteString(line)
	fmt.Print(line)
}

// At returns the time at which a run is as old as age.
func (r *Run) At(age time.Duration) time.Time { return r.started.Add(age) }

// AtEnd calls end when the run ends, the last one first.
func (r *Run) AtEnd(end func()) { r.ends = append(r.ends, end) }
