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
		{"within", Figure{Value: 9, Bound: 10}, nil, Kept},
		{"at the bound", Figure{Value: 10, Bound: 10}, nil, Kept},
		{"past a maximum", Figure{Value: 11, Bound: 10}, nil, Missed},
		{"under a minimum", Figure{Value: 0.97, Bound: 0.98, Higher: true}, nil, Missed},
		{"worse than before", Figure{Value: 9, Bound: 10}, &Figure{Value: 8}, Worse},
		{"a little worse", Figure{Value: 8.1, Bound: 10}, &Figure{Value: 8}, Kept},
		{"better", Figure{Value: 5, Bound: 10}, &Figure{Value: 8}, Kept},
		{"lower where higher is better", Figure{Value: 0.98, Bound: 0.5, Higher: true}, &Figure{Value: 1.2}, Worse},
		{"from zero", Figure{Value: 1, Bound: 10}, &Figure{Value: 0}, Worse},
	}
	for _, test := range tests {
		if got := Judge(test.figure, test.earlier); got != test.want {
			t.Errorf("%s: %s, want %s", test.name, got, test.want)
		}
	}
}

func TestTableCountsWhatIsNotKept(t *testing.T) {
	report := Report{Figures: []Figure{
		{Name: "a", Value: 1, Bound: 2},
		{Name: "b", Value: 3, Bound: 2},
		{Name: "c", Value: 2, Bound: 4},
	}}
	earlier := Report{Figures: []Figure{{Name: "c", Value: 1}}}
	var out strings.Builder
	bad, err := WriteTable(&out, report, earlier)
	if err != nil {
		t.Fatal(err)
	}
	if bad != 2 {
		t.Errorf("%d figures not kept, want b past its bound and c regressed:\n%s", bad, out.String())
	}
}

func TestReportSurvivesARoundTrip(t *testing.T) {
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
