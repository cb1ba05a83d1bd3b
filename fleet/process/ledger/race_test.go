//go:build race

package ledger

// raceDetector is set under the race detector, which slows the exploration down
// and has nothing to find in code without goroutines. test.sh explores the whole
// model without it.
const raceDetector = true
