package command

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// table prints rows under a heading, or body as JSON if --json is set.
func (s *session) table(body any, heading []string, rows [][]string) error {
	if s.JSON {
		return s.printJSON(body)
	}
	writer := tabwriter.NewWriter(s.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, strings.Join(heading, "\t"))
	for _, row := range rows {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	return errors.Wrap(writer.Flush(), "print")
}

// printJSON prints body as indented JSON.
func (s *session) printJSON(body any) error {
	encoder := json.NewEncoder(s.stdout)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(body), "print")
}

// confirmation is the JSON output for a change that the platform confirmed.
type confirmation struct {
	Version   version.Number `json:"version"`
	Operation string         `json:"operation"`
	Confirmed bool           `json:"confirmed"`
	// APIKey is a new API key, which is shown only here.
	APIKey string `json:"api_key,omitempty"`
}

// confirm prints that the platform confirmed a change, with the new API key if key is
// not empty.
func (s *session) confirm(head version.Head, key string) error {
	if s.JSON {
		return s.printJSON(confirmation{Version: head.Number, Operation: head.Operation, Confirmed: true, APIKey: key})
	}
	if key != "" {
		fmt.Fprintf(s.stdout, "API key (shown once): %s\n", key)
	}
	fmt.Fprintf(s.stdout, "version %d confirmed by the platform\n", head.Number)
	return nil
}

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}

// orDash returns text, or a dash if text is empty.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
