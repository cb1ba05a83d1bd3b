package command

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/process/operator"
)

// storeEras implements `store eras`.
type storeEras struct {
	*session `no-flag:"true"`
}

// Execute implements flags.Commander.
func (c *storeEras) Execute([]string) error {
	client, err := c.newDaemonClient()
	if err != nil {
		return err
	}
	ctx, cancel := c.commandContext()
	defer cancel()
	list := []operator.StoreStatus{}
	var rows [][]string
	for _, r := range client.callAll(ctx, c.Operators, http.MethodGet, operator.PathStore, nil) {
		var status operator.StoreStatus
		if r.err == nil {
			r.err = json.Unmarshal(r.body, &status)
		}
		if r.err != nil {
			c.warn("%s: %v", r.address, r.err)
			continue
		}
		list = append(list, status)
		rows = append(rows, []string{
			string(status.VM), strconv.FormatUint(status.Era, 10), sinceText(status.EraSince),
			strconv.FormatUint(uint64(status.Version), 10), confirmedText(status.AgeMS), keysText(status.Keyless),
		})
	}
	if err := c.table(list, []string{"VM", "ERA", "SINCE", "VERSION", "CONFIRMED", "KEYS"}, rows); err != nil {
		return err
	}
	if failed := len(c.Operators) - len(list); failed > 0 {
		return errors.Wrapf(errIncomplete, "%d of %d", failed, len(c.Operators))
	}
	return nil
}

func sinceText(since time.Time) string {
	if since.IsZero() {
		return "start"
	}
	return since.Format(time.RFC3339)
}

func keysText(keyless bool) string {
	if keyless {
		return "not checked"
	}
	return "checked"
}

func confirmedText(ageMS int64) string {
	if ageMS < 0 {
		return "no"
	}
	return agoText(ageMS)
}

// agoText returns an age in milliseconds as text.
func agoText(ageMS int64) string { return fmt.Sprintf("%.1f s ago", float64(ageMS)/1000) }
