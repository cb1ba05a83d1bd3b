package command

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"runtime/debug"
	"slices"
	"strconv"

	"github.com/trefoilwell/trefoilwell/daemon/version/change"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// presetList implements `preset list`.
type presetList struct {
	*session `no-flag:"true"`
}

// presetRow is a preset in the output of `preset list --json`.
type presetRow struct {
	Name    string `json:"name"`
	InForce bool   `json:"in_force"`
}

// Execute implements flags.Commander.
func (c *presetList) Execute([]string) error {
	state, err := c.readConfig()
	if err != nil {
		return err
	}
	body := []presetRow{}
	var rows [][]string
	for _, spec := range state.Document.Presets {
		row := presetRow{Name: spec.Name, InForce: spec.Name == state.Head.Preset}
		body = append(body, row)
		rows = append(rows, []string{row.Name, yesNo(row.InForce)})
	}
	return c.table(body, []string{"PRESET", "IN FORCE"}, rows)
}

// presetUse implements `preset use`.
type presetUse struct {
	*session `no-flag:"true"`
	Args     nameArgument `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *presetUse) Execute([]string) error {
	head, err := c.changeConfig(func(state *change.State) error {
		state.Head.Preset = c.Args.Name
		return nil
	})
	if err != nil {
		return err
	}
	return c.confirm(head, "")
}

// upstreamList implements `upstream list`.
type upstreamList struct {
	*session `no-flag:"true"`
}

// upstreamRow is an upstream in the output of `upstream list --json`.
type upstreamRow struct {
	Name       string  `json:"name"`
	Pool       string  `json:"pool"`
	DataCentre string  `json:"datacentre"`
	Team       string  `json:"team,omitempty"`
	Address    string  `json:"address"`
	LentShare  float64 `json:"lent_share"`
	ColdLimit  int     `json:"cold_limit"`
	WarmLimit  int     `json:"warm_limit"`
	Out        bool    `json:"out"`
}

// Execute implements flags.Commander.
func (c *upstreamList) Execute([]string) error {
	config, err := c.compiledConfig()
	if err != nil {
		return err
	}
	body := []upstreamRow{}
	var rows [][]string
	for _, u := range sortedValues(config.Upstreams, func(u *version.Upstream) string { return u.Name }) {
		row := upstreamRow{
			Name: u.Name, DataCentre: string(u.DataCentre), Team: u.Team, Address: u.Address,
			LentShare: u.LentShare, ColdLimit: u.ColdLimit, WarmLimit: u.WarmLimit, Out: config.UpstreamOut(u),
		}
		if pool, known := config.Pools[u.Pool]; known {
			row.Pool = pool.Name
		}
		body = append(body, row)
		rows = append(rows, []string{
			row.Name, row.Pool, row.DataCentre, orDash(row.Team), row.Address,
			fmt.Sprint(row.LentShare), strconv.Itoa(row.ColdLimit), strconv.Itoa(row.WarmLimit), yesNo(row.Out),
		})
	}
	return c.table(body, []string{"UPSTREAM", "POOL", "DATA CENTRE", "TEAM", "ADDRESS", "LENT", "COLD", "WARM", "OUT"}, rows)
}

// compiledConfig returns the configuration stored in the platform, with its preset applied.
func (s *session) compiledConfig() (*version.Config, error) {
	state, err := s.readConfig()
	if err != nil {
		return nil, err
	}
	return version.Compile(state.Document, state.Head)
}

// sortedValues returns a map's values, sorted by the key that the function returns for them.
func sortedValues[ID comparable, V any](items map[ID]V, key func(V) string) []V {
	return slices.SortedFunc(maps.Values(items), func(a, b V) int { return cmp.Compare(key(a), key(b)) })
}

// commandContext returns a context that ends after the time limit of the command.
func (s *session) commandContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(s.ctx, s.Timeout)
}

// versionCommand implements `version`.
type versionCommand struct {
	*session `no-flag:"true"`
}

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	text := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		text = info.Main.Version
	}
	_, err := fmt.Fprintln(c.stdout, text)
	return err
}
