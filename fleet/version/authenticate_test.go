package version_test

import (
	"testing"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Guards against a configuration that lets requests run because it has no account: only one
// without the section does, and for requests without a key only.
func TestAuthenticate(t *testing.T) {
	account := &version.Account{ID: version.NewAccountID("a"), KeyDigests: []string{version.KeyDigest("known")}}
	closed, public := &version.Route{}, &version.Route{Public: true}
	for _, c := range []struct {
		name     string
		config   version.Config
		admitted map[string]bool
	}{
		{"an account", version.Config{Accounts: map[version.AccountID]*version.Account{account.ID: account}}, map[string]bool{"known": true}},
		{"an empty section", version.Config{Accounts: map[version.AccountID]*version.Account{}}, map[string]bool{}},
		{"no configuration of accounts at all", version.Config{}, map[string]bool{}},
		{"no section", version.Config{Keyless: true}, map[string]bool{"": true}},
	} {
		c.config.Index()
		for _, key := range []string{"", "known", "unknown"} {
			got, admitted := c.config.Authenticate(closed, key)
			if admitted != c.admitted[key] {
				t.Errorf("%s, key %q: admitted is %t, want %t", c.name, key, admitted, c.admitted[key])
			}
			if (got != nil) != (admitted && key != "") {
				t.Errorf("%s, key %q: account is %v", c.name, key, got)
			}
			if _, admitted := c.config.Authenticate(public, key); !admitted {
				t.Errorf("%s, key %q: refused on a public route", c.name, key)
			}
		}
	}
}
