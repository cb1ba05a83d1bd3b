//go:build !race

package ledgercheck

import "time"

const (
	// scheduleCount is the number of seeded schedules.
	scheduleCount = 10_000
	// streamLength is the virtual duration of the stream of claims.
	streamLength = 100 * time.Second
)
