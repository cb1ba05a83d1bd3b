package load

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/trefoilwell/trefoilwell/fleet/request"
)

// WriteTable writes a table with one row for each account. An account's share is its
// percentage of the tokens of all accounts.
func WriteTable(w io.Writer, results []*Result) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "account\tweight\tshare\tanswers\ttokens\tbroken\trefused\tfirst token p50\tp95\tgap p50\tp95\t")
	total := totalTokens(results)
	for _, r := range results {
		fmt.Fprintf(table, "%s\t%g\t%.0f%%\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t\n",
			r.Account.Name, r.Account.Weight, percentOf(r.Tokens, total), r.Answers, r.Tokens, r.Broken, formatRefusals(r.Refused),
			quantile(r.FirstToken, 50), quantile(r.FirstToken, 95),
			quantile(r.Gap, 50), quantile(r.Gap, 95))
	}
	return table.Flush()
}

// formatRefusals returns the number of refusals with their reasons, such as
// "3 (deadline 1, queue-full 2)".
func formatRefusals(refused map[request.Reason]int) string {
	if len(refused) == 0 {
		return "0"
	}
	total := 0
	var parts []string
	for reason, n := range refused {
		total += n
		parts = append(parts, fmt.Sprintf("%s %d", reason, n))
	}
	slices.Sort(parts)
	return fmt.Sprintf("%d (%s)", total, strings.Join(parts, ", "))
}

// quantile returns a quantile of a histogram of microseconds, rounded to 0.1 ms.
func quantile(histogram *hdrhistogram.Histogram, percent float64) time.Duration {
	value := time.Duration(histogram.ValueAtQuantile(percent)) * time.Microsecond
	return value.Round(100 * time.Microsecond)
}

func totalTokens(results []*Result) int {
	total := 0
	for _, r := range results {
		total += r.Tokens
	}
	return total
}

// percentOf returns part as a percentage of whole; 0 if whole is 0.
func percentOf(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}
