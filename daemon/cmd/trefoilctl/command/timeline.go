package command

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"net/http"
	"net/url"
	"os"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/process/operator"
	"github.com/trefoilwell/trefoilwell/daemon/process/timelinehtml"
	"github.com/trefoilwell/trefoilwell/fleet/process/timeline"
)

// maxEventBytes bounds the JSON line of one event.
const maxEventBytes = 1 << 20

// timelineCommand implements `timeline`.
type timelineCommand struct {
	*session `no-flag:"true"`
	Since    string `long:"since" description:"earliest event, in milliseconds since the Unix epoch"`
	Kind     string `long:"kind" description:"kind of event, such as granted"`
	Request  string `long:"request" description:"request, as VM/incarnation/number"`
	Account  string `long:"account" description:"name of a client account"`
	Upstream string `long:"upstream" description:"name of an upstream"`
	HTML     string `long:"html" description:"write a page to this file instead of printing JSON lines"`
}

// Execute implements flags.Commander.
func (c *timelineCommand) Execute([]string) error {
	query := c.query()
	if _, err := operator.ParseFilter(query); err != nil {
		return errors.Mark(err, errUsage)
	}
	client, err := c.newDaemonClient()
	if err != nil {
		return err
	}
	ctx, cancel := c.commandContext()
	defer cancel()
	var events []timeline.Event
	failed := 0
	path := operator.PathTimeline + "?" + query.Encode()
	for _, r := range client.callAll(ctx, c.Operators, http.MethodGet, path, nil) {
		if r.err == nil {
			var decoded []timeline.Event
			decoded, r.err = decodeEvents(r.body)
			events = append(events, decoded...)
		}
		if r.err != nil {
			failed++
			c.warn("%s: %v", r.address, r.err)
		}
	}
	sortEvents(events)
	if err := c.printEvents(events); err != nil {
		return err
	}
	if failed > 0 {
		return errors.Wrapf(errIncomplete, "%d of %d", failed, len(c.Operators))
	}
	return nil
}

// query returns the filter in the options as URL parameters.
func (c *timelineCommand) query() url.Values {
	query := url.Values{}
	for key, value := range map[string]string{
		"since": c.Since, "kind": c.Kind, "request": c.Request, "account": c.Account, "upstream": c.Upstream,
	} {
		if value != "" {
			query.Set(key, value)
		}
	}
	return query
}

// decodeEvents decodes events from JSON lines. With an error it returns the events before
// the faulty line.
func decodeEvents(lines []byte) ([]timeline.Event, error) {
	var events []timeline.Event
	scanner := bufio.NewScanner(bytes.NewReader(lines))
	scanner.Buffer(nil, maxEventBytes)
	for scanner.Scan() {
		var event timeline.Event
		if err := json.Unmarshal(scanner.Bytes(), &event); err != nil {
			return events, errors.Wrap(err, "decode event")
		}
		events = append(events, event)
	}
	return events, errors.Wrap(scanner.Err(), "read events")
}

// sortEvents sorts the events of several daemons by stamp, and then by VM.
func sortEvents(events []timeline.Event) {
	slices.SortStableFunc(events, func(a, b timeline.Event) int {
		return cmp.Or(
			cmp.Compare(a.Stamp.Millis, b.Stamp.Millis),
			cmp.Compare(a.Stamp.Logical, b.Stamp.Logical),
			cmp.Compare(a.VM, b.VM),
		)
	})
}

// printEvents prints the events as JSON lines, or writes them to the HTML page.
func (c *timelineCommand) printEvents(events []timeline.Event) error {
	if c.HTML == "" {
		encoder := json.NewEncoder(c.stdout)
		for _, event := range events {
			if err := encoder.Encode(event); err != nil {
				return errors.Wrap(err, "print")
			}
		}
		return nil
	}
	file, err := os.Create(c.HTML)
	if err != nil {
		return errors.Wrap(err, "create HTML page")
	}
	if err := timelinehtml.Write(file, events); err != nil {
		file.Close()
		return err
	}
	return errors.Wrap(file.Close(), "write HTML page")
}
