//go:build !race

package ledgercheck

import "time"

const (
	// schedules is the number of seeded schedules.
	schedules = 10_000
	// speedLength is the virtual time of the stream of claims.
	speedLength = 100 * time.Second
)
