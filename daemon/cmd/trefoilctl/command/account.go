package command

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/version/change"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// keyBytes is the number of random bytes in an API key.
	keyBytes = 32
	// keyPrefix marks a string as an API key of trefoilwell.
	keyPrefix = "tw_"
)

// newKey returns a random API key.
func newKey() string {
	secret := make([]byte, keyBytes)
	// Read never fails.
	_, _ = rand.Read(secret)
	return keyPrefix + base64.RawURLEncoding.EncodeToString(secret)
}

// nameArgument is the name of the account, preset or other item that a command acts on.
type nameArgument struct {
	Name string `positional-arg-name:"NAME" required:"yes"`
}

// accountAdd implements `account add`.
type accountAdd struct {
	*session   `no-flag:"true"`
	Args       nameArgument `positional-args:"yes" required:"yes"`
	Weight     float64      `long:"weight" default:"1" description:"share relative to other accounts"`
	Team       string       `long:"team" description:"team whose upstreams keep capacity for the account"`
	MaxWaiting int          `long:"max-waiting" description:"bound of queued requests in one dispatcher; default 1000"`
}

// Execute implements flags.Commander.
func (c *accountAdd) Execute([]string) error {
	if !(c.Weight > 0) {
		return errors.Mark(errors.Newf("the weight is %v, it must be above 0", c.Weight), errUsage)
	}
	key := newKey()
	return c.changeKey(key, func(state *change.State) error {
		if accountIndex(state.Document, c.Args.Name) >= 0 {
			return errors.Newf("the account %q exists; use account rotate-key for a new key", c.Args.Name)
		}
		state.Document.Accounts = append(state.Document.Accounts, version.AccountSpec{
			Name:       c.Args.Name,
			Team:       c.Team,
			Weight:     c.Weight,
			KeyDigests: []string{version.KeyDigest(key)},
			MaxWaiting: c.MaxWaiting,
		})
		return nil
	})
}

// changeKey makes a change that adds a new API key, and prints the key.
func (s *session) changeKey(key string, edit func(*change.State) error) error {
	head, err := s.changeConfig(edit)
	if errors.Is(err, change.ErrUnconfirmed) {
		// The change may have been applied, and the key is not stored anywhere else.
		s.warn("API key, valid only if the change turns out to be in force: %s", key)
	}
	if err != nil {
		return err
	}
	return s.confirm(head, key)
}

// accountRotate implements `account rotate-key`.
type accountRotate struct {
	*session `no-flag:"true"`
	Args     nameArgument `positional-args:"yes" required:"yes"`
	DropOld  bool         `long:"drop-old" description:"end the validity of all earlier keys at once; by default the latest one stays valid"`
}

// Execute implements flags.Commander.
func (c *accountRotate) Execute([]string) error {
	key := newKey()
	return c.changeKey(key, func(state *change.State) error {
		i := accountIndex(state.Document, c.Args.Name)
		if i < 0 {
			return errors.Newf("there is no account %q; see account list", c.Args.Name)
		}
		digests := []string{version.KeyDigest(key)}
		if old := state.Document.Accounts[i].KeyDigests; len(old) > 0 && !c.DropOld {
			digests = append(digests, old[0])
		}
		state.Document.Accounts[i].KeyDigests = digests
		return nil
	})
}

// accountIndex returns the index of an account in the document, or -1.
func accountIndex(document *version.Document, name string) int {
	return slices.IndexFunc(document.Accounts, func(spec version.AccountSpec) bool { return spec.Name == name })
}

// accountList implements `account list`.
type accountList struct {
	*session `no-flag:"true"`
}

// accountRow is a client account in the output of `account list --json`.
type accountRow struct {
	Name   string  `json:"name"`
	Weight float64 `json:"weight"`
	Team   string  `json:"team,omitempty"`
	Keys   int     `json:"keys"`
}

// Execute implements flags.Commander.
func (c *accountList) Execute([]string) error {
	config, err := c.compiledConfig()
	if err != nil {
		return err
	}
	body := []accountRow{}
	var rows [][]string
	for _, account := range sortedValues(config.Accounts, func(a *version.Account) string { return a.Name }) {
		row := accountRow{Name: account.Name, Weight: account.Weight, Team: account.Team, Keys: len(account.KeyDigests)}
		body = append(body, row)
		rows = append(rows, []string{row.Name, fmt.Sprint(row.Weight), orDash(row.Team), strconv.Itoa(row.Keys)})
	}
	return c.table(body, []string{"ACCOUNT", "WEIGHT", "TEAM", "KEYS"}, rows)
}
