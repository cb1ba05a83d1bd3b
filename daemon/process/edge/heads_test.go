package edge

import (
	"testing"

	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/platform/platformtest"
)

// configOfKey returns a configuration with one account, which has one API key.
func configOfKey(id version.AccountID, key string) *version.Config {
	config := &version.Config{Accounts: map[version.AccountID]*version.Account{
		id: {ID: id, KeyDigests: []string{version.KeyDigest(key)}},
	}}
	config.Index()
	return config
}

// Guards against connections that count for the account that had their key in an earlier configuration.
func TestAccountsOfHeadsAreThoseOfTheConfigurationInForce(t *testing.T) {
	var config *version.Config
	accounts := newHeadAccounts(func() *version.Config { return config })
	head := []byte("GET / HTTP/1.1\r\nHost: h\r\n" + platformtest.HeaderKey + ": one\r\n\r\n")
	if id, known := accounts.find(head); known {
		t.Errorf("account %d is known without a configuration", id)
	}
	for _, want := range []version.AccountID{7, 8} {
		config = configOfKey(want, "one")
		for range 2 {
			if id, known := accounts.find(head); !known || id != want {
				t.Errorf("got account %d, %v, want %d", id, known, want)
			}
		}
	}
	config = configOfKey(8, "two")
	if id, known := accounts.find(head); known {
		t.Errorf("account %d is known by a key that it has no more", id)
	}
}
