package command

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/process/operator"
)

// upstreamLimits implements `upstream limits`.
type upstreamLimits struct {
	*session `no-flag:"true"`
}

// namedLimit is an upstream's limit in the output of `upstream limits`. Sent and Quota are sums
// over the daemons that know of the limit; the rest is as the daemon knows it that heard of it
// last.
type namedLimit struct {
	operator.UpstreamLimit
	Daemons []string `json:"daemons"`
}

// Execute implements flags.Commander.
func (c *upstreamLimits) Execute([]string) error {
	client, err := c.newDaemonClient()
	if err != nil {
		return err
	}
	ctx, cancel := c.commandContext()
	defer cancel()
	byUpstream := make(map[string]*namedLimit)
	failed := 0
	for _, r := range client.callAll(ctx, c.Operators, http.MethodGet, operator.PathUpstreamLimits, nil) {
		var limits []operator.UpstreamLimit
		if r.err == nil {
			r.err = json.Unmarshal(r.body, &limits)
		}
		if r.err != nil {
			failed++
			c.warn("%s: %v", r.address, r.err)
		}
		for _, limit := range limits {
			addLimit(byUpstream, r.address, limit)
		}
	}
	if err := c.print(byUpstream, len(c.Operators)); err != nil {
		return err
	}
	if failed > 0 {
		return errors.Wrapf(errIncomplete, "%d of %d", failed, len(c.Operators))
	}
	return nil
}

// addLimit merges what one daemon knows of an upstream's limit.
func addLimit(byUpstream map[string]*namedLimit, address string, limit operator.UpstreamLimit) {
	known := byUpstream[limit.Upstream]
	if known == nil {
		byUpstream[limit.Upstream] = &namedLimit{UpstreamLimit: limit, Daemons: []string{address}}
		return
	}
	merged := known.UpstreamLimit
	if limit.AgeMS < known.AgeMS {
		merged = limit
	}
	merged.Sent, merged.Quota = known.Sent+limit.Sent, known.Quota+limit.Quota
	merged.FleetSent = max(known.FleetSent, limit.FleetSent)
	if known.Since.Before(merged.Since) {
		merged.Since = known.Since
	}
	known.UpstreamLimit, known.Daemons = merged, append(known.Daemons, address)
}

func (c *upstreamLimits) print(byUpstream map[string]*namedLimit, daemons int) error {
	list := []*namedLimit{}
	for _, limit := range byUpstream {
		list = append(list, limit)
	}
	slices.SortFunc(list, func(a, b *namedLimit) int { return cmp.Compare(a.Upstream, b.Upstream) })
	var rows [][]string
	for _, limit := range list {
		rows = append(rows, []string{
			limit.Upstream, strconv.FormatFloat(limit.PerSecond, 'f', -1, 64), limit.Since.Format(time.RFC3339),
			agoText(limit.AgeMS), strconv.Itoa(limit.Sent), strconv.Itoa(limit.Quota),
			fmt.Sprintf("%d of %d", len(limit.Daemons), daemons),
		})
	}
	return c.table(list, []string{"UPSTREAM", "PER SECOND", "SINCE", "LAST NAMED", "SENT IN 4 S", "QUOTA IN 4 S", "DAEMONS"}, rows)
}
