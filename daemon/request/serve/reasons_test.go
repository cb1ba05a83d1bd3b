package serve

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/trefoilwell/trefoilwell/fleet/request"
)

// reasons parses all values of request.Reason from their source file.
func reasons(t *testing.T) []request.Reason {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "../../../fleet/request/refusal.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var values []request.Reason
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || !strings.HasPrefix(spec.Names[0].Name, "Reason") {
			return true
		}
		value, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		if err != nil {
			t.Fatal(err)
		}
		values = append(values, request.Reason(value))
		return true
	})
	return values
}

func TestEveryRefusalReasonHasStatusAndDocumentation(t *testing.T) {
	page, err := os.ReadFile("../../../docs/callers.md")
	if err != nil {
		t.Fatal(err)
	}
	all := reasons(t)
	if len(all) != len(refusalForms) {
		t.Errorf("%d reasons but %d refusal forms", len(all), len(refusalForms))
	}
	for _, reason := range all {
		form, found := refusalForms[reason]
		if !found || form.detail == "" {
			t.Errorf("%s has no status or no message", reason)
		}
		row := "| `" + string(reason) + "` | " + strconv.Itoa(form.status) + " |"
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/callers.md has no row that starts %q", row)
		}
	}
}

func TestLimitsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../../docs/callers.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, bound := range []string{
		strconv.Itoa(MaxBodyBytes>>20) + " MiB",
		strconv.Itoa(MaxHeaderBytes>>10) + " KiB",
		strconv.Itoa(MaxHeaders) + " header lines",
		DefaultBodyTimeout.String(),
		HeaderDeadline, HeaderCostHint, HeaderIdempotencyKey, HeaderExecution, HeaderReplayed,
		PathChat, PathCompletions, PathModels, PathReady, PathHealth,
	} {
		if !strings.Contains(string(page), bound) {
			t.Errorf("docs/callers.md does not mention %q", bound)
		}
	}
}
