//go:build !race

package ledger

// raceDetector is set under the race detector.
const raceDetector = false
