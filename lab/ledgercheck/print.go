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
)

// slopeRates are claims a second of the whole fleet.
var slopeRates = []float64{1, 10, 50, 100, 235, 470, 940}

// slopeBodies are sizes of answers in bytes; the last is over what is kept.
var slopeBodies = []int{0, 300, ledger.KeptBodyBytes, ledger.KeptBodyBytes + 1}

// PrintSlopes prints the cost of claims by their rate and by the size of the
// answers: a fleet of 12 data centres, a store of 5 ms, the default budget of
// writes.
func PrintSlopes(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "claims/s\tanswer B\twrites/s\twrites/claim\treads/claim\tstore B/claim\tobjects/claim\tpeer B/claim\tp50\tp99\t")
	for _, rate := range slopeRates {
		if err := printSlope(table, rate, slopeBodies[1]); err != nil {
			return err
		}
	}
	for _, body := range slopeBodies {
		if err := printSlope(table, slopeRates[len(slopeRates)-2], body); err != nil {
			return err
		}
	}
	return table.Flush()
}

func printSlope(out io.Writer, rate float64, body int) error {
	speed, err := Measure(Options{
		Seed: 1, DataCentres: 12, VMs: 36, StoreTime: 5 * time.Millisecond,
		ServiceTime: slopeRun, BodyBytes: body, CountBytes: true,
	}, Load{PerSecond: rate, Length: slopeLength, KeyAge: slopeAge})
	if err != nil {
		return err
	}
	claims := float64(speed.Claims)
	fmt.Fprintf(out, "%g\t%d\t%.1f\t%.3f\t%.3f\t%.0f\t%.4f\t%.0f\t%s\t%s\t\n",
		rate, body, float64(speed.Usage.Writes)/slopeLength.Seconds(),
		float64(speed.Usage.Writes)/claims, float64(speed.Usage.Reads)/claims,
		float64(speed.Usage.BytesWritten+speed.Usage.BytesRead)/claims,
		float64(speed.Objects)/claims, float64(speed.Bytes)/claims,
		speed.P50.Round(time.Millisecond), speed.P99.Round(time.Millisecond))
	return nil
}
