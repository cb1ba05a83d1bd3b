package bench

import (
	"bytes"
	"context"
	"os"
	"os/exec"

	"github.com/cockroachdb/errors"
)

// ReportPath is where a revision keeps its report, from the repository's root.
const ReportPath = "docs/benchmarks/report.json"

// Earlier returns the report that an earlier revision keeps.
func Earlier(ctx context.Context, revision string) (Report, error) {
	command := exec.CommandContext(ctx, "git", "show", revision+":"+ReportPath)
	var complaint bytes.Buffer
	command.Stderr = &complaint
	text, err := command.Output()
	if err != nil {
		return Report{}, errors.Wrapf(err, "revision %q has no report: %s", revision, complaint.String())
	}
	return ParseReport(text)
}

func readReport(path string) (Report, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Report{}, errors.Wrap(err, "read report")
	}
	return ParseReport(text)
}
