//go:build race

package ledgercheck

import "time"

// The runs are short under the race detector, which slows them down and has
// nothing to find in code without goroutines. test.sh runs the whole of them
// without it.
const (
	schedules   = 500
	speedLength = 10 * time.Second
)
