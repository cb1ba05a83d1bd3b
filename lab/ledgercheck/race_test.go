//go:build race

package ledgercheck

import "time"

// These tests are shortened under the race detector, which slows them down and has
// nothing to find in code without goroutines. test.sh also runs them in full length
// without it.
const (
	scheduleCount = 500
	streamLength  = 10 * time.Second
)
