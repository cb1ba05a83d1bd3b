package serve

import (
	"net/http"
	"testing"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Guards against a configuration of the product's own form that runs requests because it has no
// accounts.
func TestOwnFormWithoutAccountsRefusesEveryKey(t *testing.T) {
	config := &version.Config{}
	config.Index()
	for _, value := range []string{"", "Bearer", "Bearer ", "Bearer key"} {
		if account, found := accountFromHeader(config, http.Header{"Authorization": {value}}); found {
			t.Errorf("Authorization %q: account %v, want none", value, account)
		}
	}
}
