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

// PrintTally prints the number of calls by their answers, as Sim.Tally returns it.
func PrintTally(out io.Writer, tally map[string]int) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, kind := range slices.Sorted(maps.Keys(tally)) {
		fmt.Fprintf(table, "%s\t%d\n", kind, tally[kind])
	}
	table.Flush()
}

const (
	costRunLength   = 3 * time.Minute
	costKeyAge      = 2 * time.Second
	costServiceTime = 500 * time.Millisecond
	// designRate is the planned rate of non-idempotent requests of the whole fleet,
	// in requests per second.
	designRate = 470
	// costKillInterval corresponds to 3,700 daemon restarts a day.
	costKillInterval = 23 * time.Second
)

// costRates are the measured rates of claims of the whole fleet, in claims per
// second.
var costRates = []float64{1, 10, 50, 100, 235, designRate, 940}

// costBodyBytes are the measured sizes of answers in bytes. The ledger stores only
// the digest of an answer of the last size.
var costBodyBytes = []int{0, 300, ledger.MaxStoredBodyBytes, ledger.MaxStoredBodyBytes + 1}

// PrintClaimCosts prints the cost of claims by their rate and by the size of the
// answers. The fleet has 12 data centres and the default budget of ledger writes;
// the store answers within 5 ms.
func PrintClaimCosts(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "claims/s\tkill every\tanswer B\twrites/s\twrites/claim\treads/claim\tstore B/claim\tobjects/claim\tpeer B/claim\tp50\tp99\t")
	for _, rate := range costRates {
		if err := printCost(table, rate, costBodyBytes[1], 0); err != nil {
			return err
		}
	}
	for _, body := range costBodyBytes {
		if err := printCost(table, designRate, body, 0); err != nil {
			return err
		}
	}
	if err := printCost(table, designRate, costBodyBytes[1], costKillInterval); err != nil {
		return err
	}
	return table.Flush()
}

// printCost measures claims at one rate, size of answers in bytes and interval
// between kills of daemons (0 for none) and prints one line of the table.
func printCost(out io.Writer, rate float64, bodyBytes int, killInterval time.Duration) error {
	cost, err := Measure(Options{
		Seed: 1, DataCentres: 12, VMs: 36, StoreTime: 5 * time.Millisecond,
		ServiceTime: costServiceTime, BodyBytes: bodyBytes, CountBytes: true,
	}, Load{PerSecond: rate, Length: costRunLength, KeyAge: costKeyAge, KillInterval: killInterval})
	if err != nil {
		return err
	}
	claims := float64(cost.Claims)
	fmt.Fprintf(out, "%g\t%s\t%d\t%.1f\t%.3f\t%.3f\t%.0f\t%.4f\t%.0f\t%s\t%s\t\n",
		rate, killInterval, bodyBytes, float64(cost.Usage.Writes)/costRunLength.Seconds(),
		float64(cost.Usage.Writes)/claims, float64(cost.Usage.Reads)/claims,
		float64(cost.Usage.BytesWritten+cost.Usage.BytesRead)/claims,
		float64(cost.StoreObjects)/claims, float64(cost.PeerBytes)/claims,
		cost.P50.Round(time.Millisecond), cost.P99.Round(time.Millisecond))
	return nil
}
