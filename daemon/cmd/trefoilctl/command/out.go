package command

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/trefoilwell/trefoilwell/daemon/process/operator"
	"github.com/trefoilwell/trefoilwell/daemon/version/change"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// outTarget is a kind of object that can be taken out of service.
type outTarget struct {
	// command is the name of the command group for the kind.
	command string
	// noun is the kind in messages, with its article.
	noun   string
	target version.Target
}

// outTargets are all kinds of objects that can be taken out of service.
var outTargets = []outTarget{
	{"datacentre", "a data centre", version.TargetDataCentre},
	{"vm", "a VM", version.TargetVM},
	{"upstream", "an upstream", version.TargetUpstream},
}

// outCommand implements `datacentre out`, `datacentre in` and the same commands of the other
// kinds.
type outCommand struct {
	*session `no-flag:"true"`
	target   outTarget
	out      bool
	Args     nameArgument `positional-args:"yes" required:"yes"`
	Direct   bool         `long:"direct" description:"hand the order to the daemons given by --operator, past the platform"`
}

// Execute implements flags.Commander.
func (c *outCommand) Execute([]string) error {
	order := version.Order{
		Operation: uuid.NewString(),
		Millis:    c.now().UnixMilli(),
		Target:    c.target.target,
		Name:      c.Args.Name,
		Out:       c.out,
	}
	if err := order.Check(); err != nil {
		return errors.Mark(err, errUsage)
	}
	if c.Direct {
		return c.sendToDaemons(order, nil)
	}
	head, err := c.changeConfig(func(state *change.State) error {
		if err := c.checkTarget(state); err != nil {
			return err
		}
		state.Head.Out = state.Head.Out.Apply(order)
		return nil
	})
	switch {
	case err == nil:
		return c.confirm(head, "")
	case errors.IsAny(err, change.ErrUnavailable, change.ErrUnconfirmed) && len(c.Operators) > 0:
		return c.sendToDaemons(order, err)
	default:
		return err
	}
}

// checkTarget returns an error for taking out of service what the configuration does not
// contain. VMs are not checked, since the configuration does not list them.
func (c *outCommand) checkTarget(state *change.State) error {
	present := true
	switch c.target.target {
	case version.TargetDataCentre:
		present = slices.ContainsFunc(state.Document.DataCentres, func(s version.DataCentreSpec) bool { return s.Name == c.Args.Name })
	case version.TargetUpstream:
		present = slices.ContainsFunc(state.Document.Upstreams, func(s version.UpstreamSpec) bool { return s.Name == c.Args.Name })
	}
	if !present && c.out {
		return errors.Newf("%s called %q is not in the configuration; see config show", c.target.noun, c.Args.Name)
	}
	return nil
}

// handOverResult is the printed result of an order that was sent to daemons directly.
type handOverResult struct {
	Operation string `json:"operation"`
	// Confirmed is always false, because the platform has not confirmed the order.
	Confirmed bool           `json:"confirmed"`
	Daemons   []daemonResult `json:"daemons"`
}

// daemonResult is the answer of one daemon to an order: the configuration version in which
// the order is applied, or an error.
type daemonResult struct {
	Address string         `json:"address"`
	Version version.Number `json:"version,omitempty"`
	Error   string         `json:"error,omitempty"`
}

// sendToDaemons sends an order to the daemons directly, without the platform. A cause that
// is not nil is the platform's error that made this necessary. Even if daemons accept the
// order, the result is ErrUnconfirmed, because the platform has not confirmed the order.
func (c *outCommand) sendToDaemons(order version.Order, cause error) error {
	if cause != nil {
		c.warn("%v; handing the order to the daemons", cause)
	}
	client, err := c.newDaemonClient()
	if err != nil {
		return err
	}
	ctx, cancel := c.commandContext()
	defer cancel()
	order.Millis = max(order.Millis, c.latestOrder(ctx, client)+1)
	body, err := json.Marshal(order)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	result := handOverResult{Operation: order.Operation}
	accepted := 0
	for _, r := range client.callAll(ctx, c.Operators, http.MethodPost, operator.PathOrders, body) {
		item := daemonResult{Address: r.address}
		var answer operator.OrderResponse
		if r.err == nil {
			r.err = json.Unmarshal(r.body, &answer)
		}
		if r.err != nil {
			item.Error = r.err.Error()
		} else {
			accepted++
			item.Version = answer.Number
		}
		result.Daemons = append(result.Daemons, item)
	}
	if err := c.printHandOver(result); err != nil {
		return err
	}
	if accepted == 0 {
		return errors.Mark(errors.New("no daemon accepted the order"), change.ErrUnavailable)
	}
	return errors.Mark(errors.Newf("the order is in force on %d daemons, which pass it on and write it into the platform once it answers", accepted),
		change.ErrUnconfirmed)
}

// latestOrder returns the time of the latest order on the same target that is pending at
// the daemons, in milliseconds since the Unix epoch; 0 if there is none. The new order must
// be later, however far the clocks differ.
func (c *outCommand) latestOrder(ctx context.Context, client *daemonClient) int64 {
	var latest int64
	for _, r := range client.callAll(ctx, c.Operators, http.MethodGet, operator.PathStatus, nil) {
		var status operator.Status
		if r.err != nil || json.Unmarshal(r.body, &status) != nil {
			continue
		}
		for _, pending := range status.Configuration.Orders {
			if pending.Target == c.target.target && pending.Name == c.Args.Name {
				latest = max(latest, pending.Millis)
			}
		}
	}
	return latest
}

// printHandOver prints the answer of each daemon.
func (c *outCommand) printHandOver(result handOverResult) error {
	var rows [][]string
	for _, item := range result.Daemons {
		state := orDash(item.Error)
		if item.Error == "" {
			state = fmt.Sprintf("in force in version %d", item.Version)
		}
		rows = append(rows, []string{item.Address, state})
	}
	return c.table(result, []string{"DAEMON", "ORDER"}, rows)
}

// outOfServiceText returns a one-line list of everything that is out of service.
func outOfServiceText(out version.OutOfServiceNames) string {
	var texts []string
	for _, name := range out.DataCentres {
		texts = append(texts, "data centre "+name)
	}
	for _, name := range out.VMs {
		texts = append(texts, "VM "+name)
	}
	for _, name := range out.Upstreams {
		texts = append(texts, "upstream "+name)
	}
	return strings.Join(texts, ", ")
}
