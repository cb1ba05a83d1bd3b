package command

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/process/operator"
	"github.com/trefoilwell/trefoilwell/fleet/process/rollout"
)

// rolloutStatus implements `rollout status`.
type rolloutStatus struct {
	*session `no-flag:"true"`
}

// Execute implements flags.Commander.
func (c *rolloutStatus) Execute([]string) error {
	client, err := c.newDaemonClient()
	if err != nil {
		return err
	}
	ctx, cancel := c.commandContext()
	defer cancel()
	list := []operator.RolloutStatus{}
	var rows [][]string
	for _, r := range client.callAll(ctx, c.Operators, http.MethodGet, operator.PathRollouts, nil) {
		var status operator.RolloutStatus
		if r.err == nil {
			r.err = json.Unmarshal(r.body, &status)
		}
		if r.err != nil {
			c.warn("%s: %v", r.address, r.err)
			continue
		}
		list = append(list, status)
		if status.Inactive {
			c.warn("%s: the settings of %s do not ask for rollouts (bounds.exposure_share)", r.address, status.VM)
		}
		for _, o := range status.Rollouts {
			rows = append(rows, rolloutRow(status, o))
		}
	}
	header := []string{"VM", "SERVICE", "TO", "STATE", "ELAPSED", "AGE", "REQUESTS", "SENT", "ENDED", "FAILED", "SLOW", "VMS", "DRAINED", "AT OLD", "WHY"}
	if err := c.table(list, header, rows); err != nil {
		return err
	}
	if failed := len(c.Operators) - len(list); failed > 0 {
		return errors.Wrapf(errIncomplete, "%d of %d", failed, len(c.Operators))
	}
	return nil
}

func rolloutRow(status operator.RolloutStatus, o rollout.Overview) []string {
	state := string(o.State)
	switch {
	case o.State == rollout.StateNone:
		state = "new"
	case o.Phase != "":
		state += " (" + string(o.Phase) + ")"
	}
	why := o.Reason
	if why == "" && o.Condemned != "" {
		why = "condemned: " + o.Condemned
	}
	count := func(n uint64) string { return strconv.FormatUint(n, 10) }
	return []string{
		string(status.VM), o.Service, o.Software, state,
		fmt.Sprintf("%s of %s", o.Elapsed.Round(100*time.Millisecond), o.Duration), o.Age.Round(10 * time.Millisecond).String(),
		count(o.Requests), count(o.Sent), count(o.Ended), count(o.Failed), count(o.Slow),
		strconv.Itoa(o.VMs), strconv.Itoa(o.Drained), strconv.Itoa(o.OldRunning), why,
	}
}
