// Package bench runs the benchmark, checks its figures against bounds and
// against an earlier revision, and draws its plots.
package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// Figure is one measured value with its bound.
type Figure struct {
	// Name is unique in a report, such as "queensland/fairness-gap".
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
	// Bound is the target: a limit that Value must not cross.
	Bound float64 `json:"bound"`
	// Higher is set if a higher value is better, so that Bound is a minimum.
	Higher bool `json:"higher,omitempty"`
}

// Within reports whether the figure keeps its bound.
func (f Figure) Within() bool {
	if f.Higher {
		return f.Value >= f.Bound
	}
	return f.Value <= f.Bound
}

// Report is the outcome of one run of the benchmark.
type Report struct {
	Seed    uint64   `json:"seed"`
	Figures []Figure `json:"figures"`
}

// Figure returns the figure called name.
func (r Report) Figure(name string) (Figure, bool) {
	for _, figure := range r.Figures {
		if figure.Name == name {
			return figure, true
		}
	}
	return Figure{}, false
}

// Write stores the report as indented JSON.
func (r Report) Write(path string) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	return errors.Wrap(os.WriteFile(path, append(text, '\n'), 0o644), "write report")
}

// ParseReport decodes a report.
func ParseReport(text []byte) (Report, error) {
	var report Report
	if err := json.Unmarshal(text, &report); err != nil {
		return Report{}, errors.Wrap(err, "decode report")
	}
	return report, nil
}

// Verdict is what a figure came to against its bound and an earlier value.
type Verdict string

const (
	// Kept is a figure within its bound and not worse than before.
	Kept Verdict = "ok"
	// Missed is a figure past its bound.
	Missed Verdict = "past bound"
	// Worse is a figure within its bound but worse than before by more than
	// the tolerance.
	Worse Verdict = "regressed"
)

// Tolerance is the relative change that does not count as a regression.
const Tolerance = 0.05

// Judge compares a figure with its bound and, if there is one, with the same
// figure of an earlier revision.
func Judge(figure Figure, earlier *Figure) Verdict {
	switch {
	case !figure.Within():
		return Missed
	case earlier != nil && worse(figure, *earlier):
		return Worse
	default:
		return Kept
	}
}

func worse(figure, earlier Figure) bool {
	change := figure.Value - earlier.Value
	if figure.Higher {
		change = -change
	}
	return change > Tolerance*max(abs(earlier.Value), tiny)
}

// tiny keeps a comparison with zero from calling noise a regression.
const tiny = 1e-9

func abs(value float64) float64 { return max(value, -value) }

// WriteTable prints every figure with its verdict and returns how many are not
// Kept. earlier may be empty.
func WriteTable(w io.Writer, report, earlier Report) (int, error) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "figure\tvalue\tbound\tbefore\tunit\tverdict")
	bad := 0
	for _, figure := range report.Figures {
		before, known := earlier.Figure(figure.Name)
		verdict := Judge(figure, pointerIf(before, known))
		if verdict != Kept {
			bad++
		}
		fmt.Fprintf(table, "%s\t%.4g\t%s %.4g\t%s\t%s\t%s\n", figure.Name, figure.Value,
			relation(figure), figure.Bound, valueIf(before, known), figure.Unit, verdict)
	}
	return bad, errors.Wrap(table.Flush(), "print table")
}

func relation(figure Figure) string {
	if figure.Higher {
		return ">="
	}
	return "<="
}

func pointerIf(figure Figure, known bool) *Figure {
	if !known {
		return nil
	}
	return &figure
}

func valueIf(figure Figure, known bool) string {
	if !known {
		return "-"
	}
	return fmt.Sprintf("%.4g", figure.Value)
}
