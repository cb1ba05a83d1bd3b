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

// outTarget is a kind of thing that can be taken out of service.
type outTarget struct {
	command string
	// noun stands with its article.
	noun   string
	target version.Target
}

var outTargets = []outTarget{
	{"datacentre", "a data centre", version.TargetDataCentre},
	{"vm", "a VM", version.TargetVM},
	{"upstream", "an upstream", version.TargetUpstream},
}

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
		return c.handOver(order, nil)
	}
	head, err := c.change(func(state *change.State) error {
		if err := c.known(state); err != nil {
			return err
		}
		state.Head.Out = state.Head.Out.Apply(order)
		return nil
	})
	switch {
	case err == nil:
		return c.confirm(head, "")
	case errors.IsAny(err, change.ErrUnavailable, change.ErrUnconfirmed) && len(c.Operators) > 0:
		return c.handOver(order, err)
	default:
		return err
	}
}

// known refuses a name that is not in the configuration. VMs are not described
// there.
func (c *outCommand) known(state *change.State) error {
	found := true
	switch c.target.target {
	case version.TargetDataCentre:
		found = slices.ContainsFunc(state.Document.DataCentres, func(s version.DataCentreSpec) bool { return s.Name == c.Args.Name })
	case version.TargetUpstream:
		found = slices.ContainsFunc(state.Document.Upstreams, func(s version.UpstreamSpec) bool { return s.Name == c.Args.Name })
	}
	if !found && c.out {
		return errors.Newf("%s called %q is not described; see config show", c.target.noun, c.Args.Name)
	}
	return nil
}

// handedOver is what is printed of an order that daemons took.
type handedOver struct {
	Operation string `json:"operation"`
	// Confirmed is always false: the platform has not confirmed the order.
	Confirmed bool             `json:"confirmed"`
	Daemons   []handedOverItem `json:"daemons"`
}

type handedOverItem struct {
	Address string         `json:"address"`
	Version version.Number `json:"version,omitempty"`
	Error   string         `json:"error,omitempty"`
}

// handOver gives an order to the daemons past the platform, which failed with
// cause if that is not nil.
func (c *outCommand) handOver(order version.Order, cause error) error {
	if cause != nil {
		c.warn("%v; handing the order to the daemons", cause)
	}
	reached, err := c.daemons()
	if err != nil {
		return err
	}
	ctx, cancel := c.deadline()
	defer cancel()
	order.Millis = max(order.Millis, c.latestOrder(ctx, reached)+1)
	body, err := json.Marshal(order)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	result := handedOver{Operation: order.Operation}
	accepted := 0
	for _, r := range reached.ask(ctx, c.Operators, http.MethodPost, operator.PathOrders, body) {
		item := handedOverItem{Address: r.address}
		var answer operator.Accepted
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
	if err := c.printHandedOver(result); err != nil {
		return err
	}
	if accepted == 0 {
		return errors.Mark(errors.New("no daemon took the order"), change.ErrUnavailable)
	}
	return errors.Mark(errors.Newf("the order is in force on %d daemons, which pass it on and write it into the platform once it answers", accepted),
		change.ErrUnconfirmed)
}

// latestOrder returns the time of the latest order on the same thing that waits
// at the daemons, so that the new one comes after it whatever the clocks say.
func (c *outCommand) latestOrder(ctx context.Context, reached *daemons) int64 {
	var latest int64
	for _, r := range reached.ask(ctx, c.Operators, http.MethodGet, operator.PathStatus, nil) {
		var status operator.Status
		if r.err != nil || json.Unmarshal(r.body, &status) != nil {
			continue
		}
		for _, other := range status.Configuration.Orders {
			if other.Target == c.target.target && other.Name == c.Args.Name {
				latest = max(latest, other.Millis)
			}
		}
	}
	return latest
}

func (c *outCommand) printHandedOver(result handedOver) error {
	var rows [][]string
	for _, item := range result.Daemons {
		state := dash(item.Error)
		if item.Error == "" {
			state = fmt.Sprintf("in force in version %d", item.Version)
		}
		rows = append(rows, []string{item.Address, state})
	}
	return c.table(result, []string{"DAEMON", "ORDER"}, rows)
}

// outText lists what is out of service in one line.
func outText(out version.OutNames) string {
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
