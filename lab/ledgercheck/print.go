package ledgercheck

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/process/ledger"
)

// PrintTally prints how calls ended.
func PrintTally(out io.Writer, tally map[string]int) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, kind := range slices.Sorted(maps.Keys(tally)) {
		fmt.Fprintf(table, "%s\t%d\n", kind, tally[kind])
	}
	table.Flush()
}

const (
	slopeLength = 3 * time.Minute
	slopeAge    = 2 * time.Second
	slopeRun    = 500 * time.Millisecond
	// designRate is the non-idempotent requests a second at the coming size.
	designRate = 470
	// slopeKillEvery loses daemons as often as 3,700 restarts a day do.
	slopeKillEvery = 23 * time.Second
)

// slopeRates are claims a second of the whole fleet.
var slopeRates = []float64{1, 10, 50, 100, 235, designRate, 940}

// slopeBodies are sizes of answers in bytes; the last is over what is kept.
var slopeBodies = []int{0, 300, ledger.KeptBodyBytes, ledger.KeptBodyBytes + 1}

// PrintSlopes prints the cost of claims by their rate and by the size of the
// answers: a fleet of 12 data centres, a store of 5 ms, the default budget of
// writes.
func PrintSlopes(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "claims/s\tkill every\tanswer B\twrites/s\twrites/claim\treads/claim\tstore B/claim\tobjects/claim\tpeer B/claim\tp50\tp99\t")
	for _, rate := range slopeRates {
		if err := printSlope(table, rate, slopeBodies[1], 0); err != nil {
			return err
		}
	}
	for _, body := range slopeBodies {
		if err := printSlope(table, designRate, body, 0); err != nil {
			return err
		}
	}
	if err := printSlope(table, designRate, slopeBodies[1], slopeKillEvery); err != nil {
		return err
	}
	return table.Flush()
}

func printSlope(out io.Writer, rate float64, body int, killEvery time.Duration) error {
	speed, err := Measure(Options{
		Seed: 1, DataCentres: 12, VMs: 36, StoreTime: 5 * time.Millisecond,
		ServiceTime: slopeRun, BodyBytes: body, CountBytes: true,
	}, Load{PerSecond: rate, Length: slopeLength, KeyAge: slopeAge, KillEvery: killEvery})
	if err != nil {
		return err
	}
	claims := float64(speed.Claims)
	fmt.Fprintf(out, "%g\t%s\t%d\t%.1f\t%.3f\t%.3f\t%.0f\t%.4f\t%.0f\t%s\t%s\t\n",
		rate, killEvery, body, float64(speed.Usage.Writes)/slopeLength.Seconds(),
		float64(speed.Usage.Writes)/claims, float64(speed.Usage.Reads)/claims,
		float64(speed.Usage.BytesWritten+speed.Usage.BytesRead)/claims,
		float64(speed.Objects)/claims, float64(speed.Bytes)/claims,
		speed.P50.Round(time.Millisecond), speed.P99.Round(time.Millisecond))
	return nil
}
