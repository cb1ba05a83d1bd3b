//go:build race

package ledgercheck

// schedules is small under the race detector, which slows the runs down and has
// nothing to find in code without goroutines. test.sh runs the whole number
// without it.
const schedules = 500
