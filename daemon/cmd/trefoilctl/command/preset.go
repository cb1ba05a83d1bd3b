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

type presetList struct {
	*session `no-flag:"true"`
}

// presetRow is one preset in `preset list --json`.
type presetRow struct {
	Name    string `json:"name"`
	InForce bool   `json:"in_force"`
}

// Execute implements flags.Commander.
func (c *presetList) Execute([]string) error {
	state, err := c.read()
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

type presetUse struct {
	*session `no-flag:"true"`
	Args     nameArgument `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *presetUse) Execute([]string) error {
	head, err := c.change(func(state *change.State) error {
		state.Head.Preset = c.Args.Name
		return nil
	})
	if err != nil {
		return err
	}
	return c.confirm(head, "")
}

type upstreamList struct {
	*session `no-flag:"true"`
}

// upstreamRow is one upstream in `upstream list --json`.
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
	config, err := c.compiled()
	if err != nil {
		return err
	}
	body := []upstreamRow{}
	var rows [][]string
	for _, u := range sortedBy(config.Upstreams, func(u *version.Upstream) string { return u.Name }) {
		row := upstreamRow{
			Name: u.Name, DataCentre: string(u.DataCentre), Team: u.Team, Address: u.Address,
			LentShare: u.LentShare, ColdLimit: u.ColdLimit, WarmLimit: u.WarmLimit, Out: config.UpstreamOut(u),
		}
		if pool, known := config.Pools[u.Pool]; known {
			row.Pool = pool.Name
		}
		body = append(body, row)
		rows = append(rows, []string{
			row.Name, row.Pool, row.DataCentre, dash(row.Team), row.Address,
			fmt.Sprint(row.LentShare), strconv.Itoa(row.ColdLimit), strconv.Itoa(row.WarmLimit), yesNo(row.Out),
		})
	}
	return c.table(body, []string{"UPSTREAM", "POOL", "DATA CENTRE", "TEAM", "ADDRESS", "LENT", "COLD", "WARM", "OUT"}, rows)
}

// compiled returns the configuration in the platform with its preset applied.
func (s *session) compiled() (*version.Config, error) {
	state, err := s.read()
	if err != nil {
		return nil, err
	}
	return version.Compile(state.Document, state.Head)
}

// sortedBy returns a map's values in the order of a key.
func sortedBy[ID comparable, V any](items map[ID]V, key func(V) string) []V {
	return slices.SortedFunc(maps.Values(items), func(a, b V) int { return cmp.Compare(key(a), key(b)) })
}

// deadline bounds a command's work.
func (s *session) deadline() (context.Context, context.CancelFunc) {
	return context.WithTimeout(s.ctx, s.Timeout)
}

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
