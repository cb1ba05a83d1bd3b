package command

import (
	"encoding/json"
	"fmt"
	"net/http"
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
	heading := []string{"DAEMON", "VM", "DATA CENTRE", "READY", "VERSION", "PRESET", "MEMBERS", "WATCHING", "ORDERS", "OUT OF SERVICE"}
	if err := c.table(body, heading, rows); err != nil {
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
		dash(s.Configuration.Preset), strconv.Itoa(len(s.Members)), yesNo(s.Configuration.Watching),
		strconv.Itoa(len(s.Configuration.Orders)), dash(outText(s.Configuration.Out)),
	}
}
