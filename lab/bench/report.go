// Package bench runs the benchmark, compares its figures with their bounds and
// with those of an earlier revision, and draws plots of them.
package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// Figure is a measured value with its bound.
type Figure struct {
	// Name is unique in a report, such as "queensland/steady-even/fairness-gap".
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
	// Bound is the limit that Value must not cross.
	Bound float64 `json:"bound"`
	// Higher is set if a higher value is better; Bound is then a minimum.
	Higher bool `json:"higher,omitempty"`
}

// Within reports whether the figure is within its bound.
func (f Figure) Within() bool {
	if f.Higher {
		return f.Value >= f.Bound
	}
	return f.Value <= f.Bound
}

// Report holds the figures of a run of the benchmark.
type Report struct {
	Seed    uint64   `json:"seed"`
	Figures []Figure `json:"figures"`
}

// Figure returns the figure called name, and whether the report has it.
func (r Report) Figure(name string) (Figure, bool) {
	for _, figure := range r.Figures {
		if figure.Name == name {
			return figure, true
		}
	}
	return Figure{}, false
}

// Write writes the report to a file as indented JSON.
func (r Report) Write(path string) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	return errors.Wrap(os.WriteFile(path, append(text, '\n'), 0o644), "write report")
}

// ParseReport decodes a report that Write wrote.
func ParseReport(text []byte) (Report, error) {
	var report Report
	if err := json.Unmarshal(text, &report); err != nil {
		return Report{}, errors.Wrap(err, "decode report")
	}
	return report, nil
}

// Verdict is the result of comparing a figure with its bound and its earlier value.
type Verdict string

const (
	// VerdictWithin means that the figure is within its bound and no worse than
	// the earlier value by more than Tolerance.
	VerdictWithin Verdict = "ok"
	// VerdictPastBound means that the figure is past its bound.
	VerdictPastBound Verdict = "past bound"
	// VerdictRegressed means that the figure is within its bound but worse than
	// the earlier value by more than Tolerance.
	VerdictRegressed Verdict = "regressed"
)

// Tolerance is the largest relative change for the worse that does not count as a
// regression.
const Tolerance = 0.05

// Judge compares a figure with its bound and, unless earlier is nil, with the same
// figure of an earlier revision.
func Judge(figure Figure, earlier *Figure) Verdict {
	switch {
	case !figure.Within():
		return VerdictPastBound
	case earlier != nil && regressed(figure, *earlier):
		return VerdictRegressed
	default:
		return VerdictWithin
	}
}

// regressed reports whether figure is worse than earlier by more than Tolerance.
func regressed(figure, earlier Figure) bool {
	change := figure.Value - earlier.Value
	if figure.Higher {
		change = -change
	}
	return change > Tolerance*max(abs(earlier.Value), minReference)
}

// minReference is the smallest value that a change is related to, so that rounding
// errors beside an earlier value of zero do not count as a regression.
const minReference = 1e-9

func abs(value float64) float64 { return max(value, -value) }

// WriteTable writes every figure with its verdict and returns how many are past
// their bound or regressed. earlier may be empty.
func WriteTable(w io.Writer, report, earlier Report) (int, error) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "figure\tvalue\tbound\tbefore\tunit\tverdict")
	failing := 0
	for _, figure := range report.Figures {
		earlierFigure, found := earlier.Figure(figure.Name)
		verdict := Judge(figure, pointerIfFound(earlierFigure, found))
		if verdict != VerdictWithin {
			failing++
		}
		fmt.Fprintf(table, "%s\t%.4g\t%s %.4g\t%s\t%s\t%s\n", figure.Name, figure.Value,
			boundRelation(figure), figure.Bound, formatIfFound(earlierFigure, found), figure.Unit, verdict)
	}
	return failing, errors.Wrap(table.Flush(), "write table of figures")
}

// boundRelation returns the relation that the figure must have to its bound.
func boundRelation(figure Figure) string {
	if figure.Higher {
		return ">="
	}
	return "<="
}

func pointerIfFound(figure Figure, found bool) *Figure {
	if !found {
		return nil
	}
	return &figure
}

func formatIfFound(figure Figure, found bool) string {
	if !found {
		return "-"
	}
	return fmt.Sprintf("%.4g", figure.Value)
}
