package bench

import (
	"bytes"
	"context"
	"os"
	"os/exec"

	"github.com/cockroachdb/errors"
)

// ReportPath is the path of a revision's report, relative to the root of the
// repository.
const ReportPath = "docs/benchmarks/report.json"

// EarlierReport returns the report that is committed in an earlier revision of the
// repository that holds the working directory.
func EarlierReport(ctx context.Context, revision string) (Report, error) {
	command := exec.CommandContext(ctx, "git", "show", revision+":"+ReportPath)
	var stderr bytes.Buffer
	command.Stderr = &stderr
	encoded, err := command.Output()
	if err != nil {
		return Report{}, errors.Wrapf(err, "read report of revision %q: %s", revision, stderr.String())
	}
	return ParseReport(encoded)
}

// readReport reads a report from a file.
func readReport(path string) (Report, error) {
	encoded, err := os.ReadFile(path)
	if err != nil {
		return Report{}, errors.Wrap(err, "read report")
	}
	return ParseReport(encoded)
}
