package command

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/process/operator"
)

// statusCommand implements `status`.
type statusCommand struct {
	*session `no-flag:"true"`
}

// daemonStatus is a daemon in the output of `status --json`. Error is set if the daemon's
// status could not be fetched.
type daemonStatus struct {
	Address string           `json:"address"`
	Error   string           `json:"error,omitempty"`
	Status  *operator.Status `json:"status,omitempty"`
}

// errIncomplete is returned if some daemons did not answer, after the answers of the
// others were printed.
var errIncomplete = errors.New("some daemons did not answer")

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	client, err := c.newDaemonClient()
	if err != nil {
		return err
	}
	ctx, cancel := c.commandContext()
	defer cancel()
	var body []daemonStatus
	var rows [][]string
	failed := 0
	for _, r := range client.callAll(ctx, c.Operators, http.MethodGet, operator.PathStatus, nil) {
		entry := daemonStatus{Address: r.address}
		var status operator.Status
		if r.err == nil {
			r.err = json.Unmarshal(r.body, &status)
		}
		if r.err != nil {
			failed++
			entry.Error = r.err.Error()
		} else {
			entry.Status = &status
		}
		body = append(body, entry)
		rows = append(rows, entry.row())
	}
	heading := []string{"DAEMON", "VM", "DATA CENTRE", "READY", "VERSION", "PRESET", "WAITING", "RUNNING", "MEMBERS", "LAPSED", "WATCHING", "ORDERS", "OUT OF SERVICE"}
	if err := c.table(body, heading, rows); err != nil {
		return err
	}
	if err := c.printPools(body); err != nil {
		return err
	}
	if failed > 0 {
		return errors.Wrapf(errIncomplete, "%d of %d", failed, len(body))
	}
	return nil
}

// row returns the daemon's row in the table of daemons.
func (d daemonStatus) row() []string {
	if d.Status == nil {
		return []string{d.Address, "-", "-", d.Error}
	}
	s := d.Status
	ready := yesNo(s.Ready)
	if !s.Ready {
		ready = "no: " + s.NotReadyReason
	}
	return []string{
		d.Address, string(s.VM), string(s.DataCentre), ready, fmt.Sprint(s.Configuration.Number),
		orDash(s.Configuration.Preset), strconv.Itoa(s.Waiting), strconv.Itoa(s.Running),
		strconv.Itoa(len(s.Members)), strconv.Itoa(len(s.Lapsed)), yesNo(s.Configuration.Watching),
		strconv.Itoa(len(s.Configuration.Orders)), orDash(outOfServiceText(s.Configuration.Out)),
	}
}

// printPools prints a table of all pools of all daemons, sorted by pool, data centre and
// VM. With --json it prints nothing, because the daemons' statuses contain the pools.
func (c *statusCommand) printPools(daemons []daemonStatus) error {
	if c.JSON {
		return nil
	}
	var rows [][]string
	for _, d := range daemons {
		if d.Status == nil {
			continue
		}
		for _, pool := range d.Status.Pools {
			rows = append(rows, []string{
				pool.Name, string(d.Status.DataCentre), string(d.Status.VM), strconv.Itoa(pool.Waiting),
				fmt.Sprintf("%d of %d", pool.SlotsUsed, pool.SlotsLimit), fmt.Sprintf("%d of %d", pool.Cold, pool.Upstreams),
			})
		}
	}
	if len(rows) == 0 {
		return nil
	}
	slices.SortFunc(rows, slices.Compare[[]string])
	fmt.Fprintln(c.stdout)
	return c.table(nil, []string{"POOL", "DATA CENTRE", "DISPATCHER", "WAITING", "SLOTS USED", "COLD UPSTREAMS"}, rows)
}
