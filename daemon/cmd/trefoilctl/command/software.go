package command

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/process/operator"
)

// softwareVersions implements `software versions`.
type softwareVersions struct {
	*session `no-flag:"true"`
}

// Execute implements flags.Commander.
func (c *softwareVersions) Execute([]string) error {
	client, err := c.newDaemonClient()
	if err != nil {
		return err
	}
	ctx, cancel := c.commandContext()
	defer cancel()
	list := []operator.SoftwareStatus{}
	var rows [][]string
	for _, r := range client.callAll(ctx, c.Operators, http.MethodGet, operator.PathSoftware, nil) {
		var status operator.SoftwareStatus
		if r.err == nil {
			r.err = json.Unmarshal(r.body, &status)
		}
		if r.err != nil {
			c.warn("%s: %v", r.address, r.err)
			continue
		}
		list = append(list, status)
		for _, v := range status.Versions {
			software := v.Software
			if software == "" {
				software = "(not given)"
			}
			rows = append(rows, []string{
				string(status.VM), v.Pool, software, strconv.Itoa(v.Upstreams), yesNo(v.Recorded), yesNo(status.Certain),
				strconv.FormatUint(status.Resumed, 10), strconv.FormatUint(status.Unknown, 10),
			})
		}
	}
	if err := c.table(list, []string{"VM", "POOL", "SOFTWARE", "UPSTREAMS", "RECORDED", "CERTAIN", "RESUMED", "UNKNOWN"}, rows); err != nil {
		return err
	}
	if failed := len(c.Operators) - len(list); failed > 0 {
		return errors.Wrapf(errIncomplete, "%d of %d", failed, len(c.Operators))
	}
	return nil
}
