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

// reasons reads every request.Reason from its source.
func reasons(t *testing.T) []request.Reason {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "../../../fleet/request/refusal.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var found []request.Reason
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || !strings.HasPrefix(spec.Names[0].Name, "Reason") {
			return true
		}
		value, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		if err != nil {
			t.Fatal(err)
		}
		found = append(found, request.Reason(value))
		return true
	})
	return found
}

func TestEveryReasonHasAStatusAndIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../../docs/callers.md")
	if err != nil {
		t.Fatal(err)
	}
	all := reasons(t)
	if len(all) != len(forms) {
		t.Errorf("%d reasons and %d forms", len(all), len(forms))
	}
	for _, reason := range all {
		form, known := forms[reason]
		if !known || form.detail == "" {
			t.Errorf("%s has no status or no sentence", reason)
		}
		row := "| `" + string(reason) + "` | " + strconv.Itoa(form.status) + " |"
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/callers.md has no row that starts %q", row)
		}
	}
}

func TestTheBoundsAreDocumented(t *testing.T) {
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
