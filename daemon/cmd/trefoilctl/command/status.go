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

type statusCommand struct {
	*session `no-flag:"true"`
}

// daemonStatus is one daemon in `status --json`.
type daemonStatus struct {
	Address string           `json:"address"`
	Error   string           `json:"error,omitempty"`
	Status  *operator.Status `json:"status,omitempty"`
}

// errIncomplete is returned if some daemons did not answer.
var errIncomplete = errors.New("some daemons did not answer")

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	reached, err := c.daemons()
	if err != nil {
		return err
	}
	ctx, cancel := c.deadline()
	defer cancel()
	var body []daemonStatus
	var rows [][]string
	failed := 0
	for _, r := range reached.ask(ctx, c.Operators, http.MethodGet, operator.PathStatus, nil) {
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
		dash(s.Configuration.Preset), strconv.Itoa(s.Waiting), strconv.Itoa(s.Running),
		strconv.Itoa(len(s.Members)), strconv.Itoa(len(s.Lapsed)), yesNo(s.Configuration.Watching),
		strconv.Itoa(len(s.Configuration.Orders)), dash(outText(s.Configuration.Out)),
	}
}

// printPools prints the pools by data centre under the table of daemons; they
// are part of the JSON form already.
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
