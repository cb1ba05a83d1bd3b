package command

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/process/operator"
	"github.com/trefoilwell/trefoilwell/daemon/process/quarantine"
)

// promptHeld implements `prompt held`.
type promptHeld struct {
	*session `no-flag:"true"`
}

// heldPrompt is a held prompt segment or request in the output of `prompt held`. Refused is the sum over
// the daemons that hold it.
type heldPrompt struct {
	quarantine.HeldSegment
	Daemons []string `json:"daemons"`
}

// Execute implements flags.Commander.
func (c *promptHeld) Execute([]string) error {
	client, err := c.newDaemonClient()
	if err != nil {
		return err
	}
	ctx, cancel := c.commandContext()
	defer cancel()
	bySegment := make(map[string]*heldPrompt)
	failed := 0
	for _, r := range client.callAll(ctx, c.Operators, http.MethodGet, operator.PathHeldPrompts, nil) {
		var held []quarantine.HeldSegment
		if r.err == nil {
			r.err = json.Unmarshal(r.body, &held)
		}
		if r.err != nil {
			failed++
			c.warn("%s: %v", r.address, r.err)
		}
		for _, h := range held {
			addHeld(bySegment, r.address, h)
		}
	}
	if err := c.printHeld(bySegment, len(c.Operators)); err != nil {
		return err
	}
	if failed > 0 {
		return errors.Wrapf(errIncomplete, "%d of %d", failed, len(c.Operators))
	}
	return nil
}

// addHeld merges what one daemon says of a held segment or request.
func addHeld(bySegment map[string]*heldPrompt, address string, held quarantine.HeldSegment) {
	key := held.Kind + " " + held.Segment
	known := bySegment[key]
	if known == nil {
		bySegment[key] = &heldPrompt{HeldSegment: held, Daemons: []string{address}}
		return
	}
	known.Daemons = append(known.Daemons, address)
	known.Refused += held.Refused
	known.Crashes, known.Trials = max(known.Crashes, held.Crashes), max(known.Trials, held.Trials)
	if held.Since.Before(known.Since) {
		known.Since = held.Since
	}
	if held.LastCrash.After(known.LastCrash) {
		known.LastCrash = held.LastCrash
	}
	if held.NextTrial.After(known.NextTrial) {
		known.NextTrial = held.NextTrial
	}
	for _, upstream := range held.Upstreams {
		// A daemon that learned of a crash later does not know the name of the upstream.
		if !slices.Contains(known.Upstreams, upstream) && !strings.HasPrefix(upstream, "#") {
			known.Upstreams = append(known.Upstreams, upstream)
		}
	}
}

func (c *promptHeld) printHeld(bySegment map[string]*heldPrompt, daemons int) error {
	list := []*heldPrompt{}
	for _, held := range bySegment {
		list = append(list, held)
	}
	slices.SortFunc(list, func(a, b *heldPrompt) int { return a.Since.Compare(b.Since) })
	var rows [][]string
	for _, held := range list {
		next := "none"
		if !held.NextTrial.IsZero() {
			next = held.NextTrial.Format(time.RFC3339)
		}
		rows = append(rows, []string{
			held.Segment, held.Kind, held.Since.Format(time.RFC3339), strconv.Itoa(held.Crashes), held.LastCrash.Format(time.RFC3339),
			strings.Join(held.Upstreams, " "), strconv.FormatUint(held.Refused, 10), strconv.Itoa(held.Trials),
			next, fmt.Sprintf("%d of %d", len(held.Daemons), daemons),
		})
	}
	return c.table(list, []string{"SEGMENT OR REQUEST", "KIND", "HELD SINCE", "CRASHES", "LAST CRASH", "UPSTREAMS", "REFUSED", "TRIALS", "NEXT TRIAL", "DAEMONS"}, rows)
}

// promptRelease implements `prompt release`.
type promptRelease struct {
	*session `no-flag:"true"`
	Args     nameArgument `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander. The daemons pass the release on to each other, so one
// that accepts it suffices.
func (c *promptRelease) Execute([]string) error {
	if _, err := strconv.ParseUint(c.Args.Name, 16, 64); err != nil {
		return errors.Mark(errors.Newf("%q is no prompt segment or fingerprint of a request; see prompt held", c.Args.Name), errUsage)
	}
	client, err := c.newDaemonClient()
	if err != nil {
		return err
	}
	ctx, cancel := c.commandContext()
	defer cancel()
	body, err := json.Marshal(operator.ReleaseRequest{Segment: c.Args.Name})
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	released, failed := 0, 0
	for _, r := range client.callAll(ctx, c.Operators, http.MethodPost, operator.PathReleasePrompt, body) {
		var answer operator.ReleaseResponse
		if r.err == nil {
			r.err = json.Unmarshal(r.body, &answer)
		}
		switch {
		case r.err != nil:
			failed++
			c.warn("%s: %v", r.address, r.err)
		case answer.Released:
			released++
		}
	}
	switch {
	case released > 0:
		_, err := fmt.Fprintf(c.stdout, "segment or request %s is released; the daemons tell each other\n", c.Args.Name)
		return err
	case failed > 0:
		return errors.Wrapf(errIncomplete, "%d of %d, and none of the others holds it", failed, len(c.Operators))
	}
	return errors.Newf("no daemon holds segment or request %s; see prompt held", c.Args.Name)
}
