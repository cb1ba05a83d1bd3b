package measure

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// columns are the names of the columns of a result, in the order of Result.row.
var columns = []string{
	"deployment", "scenario", "policy", "spread", "daemons", "gap", "total gap", "bound",
	"utilisation", "warm use", "short wait p95 s", "longest wait s", "completed", "refused",
	"broken", "new work while out", "over cold", "before sign", "return s", "standing B/s",
	"standing max B/s", "request B/s", "request max B/s", "B/request",
	"cross-region B/s",
}

// row returns the values of a result in the order of columns.
func (r Result) row() []string {
	number := func(value float64, digits int) string { return strconv.FormatFloat(value, 'f', digits, 64) }
	return []string{
		r.Deployment, r.Scenario, string(r.Policy), string(r.Spread), strconv.Itoa(r.Daemons),
		number(r.Gap, 0), number(r.TotalGap, 0), number(r.Bound, 0), number(r.Utilisation, 4), number(r.WarmUse, 4),
		number(r.ShortWait95, 2), number(r.LongestWait, 1),
		strconv.Itoa(r.Completed), strconv.Itoa(r.Refused), strconv.Itoa(r.Broken),
		strconv.Itoa(r.NewWorkWhileOut), strconv.Itoa(r.OverCold), strconv.Itoa(r.BeforeSign), number(r.ReturnSeconds, 0),
		number(r.Traffic.StandingMean, 0), number(r.Traffic.StandingMax, 0),
		number(r.Traffic.RequestMean, 0), number(r.Traffic.RequestMax, 0),
		number(r.BytesPerRequest, 1), number(r.CrossRegionBytes, 0),
	}
}

// WriteTable writes results as a text table without their time series.
func WriteTable(w io.Writer, results []Result) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	writeLine(table, columns)
	for _, result := range results {
		writeLine(table, result.row())
	}
	return errors.Wrap(table.Flush(), "write table of results")
}

func writeLine(w io.Writer, fields []string) {
	for _, field := range fields {
		fmt.Fprintf(w, "%s\t", field)
	}
	fmt.Fprintln(w)
}

// WriteCSV writes results as CSV without their time series.
func WriteCSV(w io.Writer, results []Result) error {
	out := csv.NewWriter(w)
	rows := [][]string{columns}
	for _, result := range results {
		rows = append(rows, result.row())
	}
	return errors.Wrap(out.WriteAll(rows), "write results as CSV")
}

// WriteJSON writes results with their time series as one JSON array.
func WriteJSON(w io.Writer, results []Result) error {
	return errors.Wrap(json.NewEncoder(w).Encode(results), "write results as JSON")
}
