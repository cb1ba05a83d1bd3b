//go:build !race

package ledgercheck

// schedules is the number of seeded schedules.
const schedules = 10_000
