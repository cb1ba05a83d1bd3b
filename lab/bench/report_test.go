package bench

import (
	"strings"
	"testing"
)

func TestJudge(t *testing.T) {
	tests := []struct {
		name    string
		figure  Figure
		earlier *Figure
		want    Verdict
	}{
		{"within", Figure{Value: 9, Bound: 10}, nil, VerdictWithin},
		{"at the bound", Figure{Value: 10, Bound: 10}, nil, VerdictWithin},
		{"past a maximum", Figure{Value: 11, Bound: 10}, nil, VerdictPastBound},
		{"under a minimum", Figure{Value: 0.97, Bound: 0.98, Higher: true}, nil, VerdictPastBound},
		{"worse than before", Figure{Value: 9, Bound: 10}, &Figure{Value: 8}, VerdictRegressed},
		{"a little worse", Figure{Value: 8.1, Bound: 10}, &Figure{Value: 8}, VerdictWithin},
		{"better", Figure{Value: 5, Bound: 10}, &Figure{Value: 8}, VerdictWithin},
		{"lower where higher is better", Figure{Value: 0.98, Bound: 0.5, Higher: true}, &Figure{Value: 1.2}, VerdictRegressed},
		{"from zero", Figure{Value: 1, Bound: 10}, &Figure{Value: 0}, VerdictRegressed},
	}
	for _, test := range tests {
		if got := Judge(test.figure, test.earlier); got != test.want {
			t.Errorf("%s: verdict is %q, want %q", test.name, got, test.want)
		}
	}
}

func TestWriteTableCountsFailingFigures(t *testing.T) {
	report := Report{Figures: []Figure{
		{Name: "a", Value: 1, Bound: 2},
		{Name: "b", Value: 3, Bound: 2},
		{Name: "c", Value: 2, Bound: 4},
	}}
	earlier := Report{Figures: []Figure{{Name: "c", Value: 1}}}
	var out strings.Builder
	failing, err := WriteTable(&out, report, earlier)
	if err != nil {
		t.Fatal(err)
	}
	if failing != 2 {
		t.Errorf("%d failing figures, want 2: b past its bound and c regressed:\n%s", failing, out.String())
	}
}

func TestReportRoundTrip(t *testing.T) {
	path := t.TempDir() + "/report.json"
	want := Report{Seed: 7, Figures: []Figure{{Name: "a", Unit: "ms", Value: 1.5, Bound: 2, Higher: true}}}
	if err := want.Write(path); err != nil {
		t.Fatal(err)
	}
	got, err := readReport(path)
	if err != nil {
		t.Fatal(err)
	}
	if got.Seed != want.Seed || len(got.Figures) != 1 || got.Figures[0] != want.Figures[0] {
		t.Errorf("read %+v, want %+v", got, want)
	}
}
