package edge

import (
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/platform"
)

// headAccounts finds the accounts of requests by the beginnings of their heads. It keeps the accounts of keys
// that it has seen, whose digests cost more than turning a connection away. It is not safe for concurrent use.
type headAccounts struct {
	config func() *version.Config
	// byKey holds accounts of the configuration from.
	from  *version.Config
	byKey map[string]version.AccountID
}

// newHeadAccounts returns a headAccounts of the present configuration, which is nil before the first one.
func newHeadAccounts(config func() *version.Config) *headAccounts {
	return &headAccounts{config: config}
}

// find returns the account whose API key stands in head, if it is known.
func (h *headAccounts) find(head []byte) (version.AccountID, bool) {
	config, key := h.config(), platform.KeyOfHead(head)
	if config == nil || len(key) == 0 {
		return 0, false
	}
	if config != h.from {
		h.from, h.byKey = config, make(map[string]version.AccountID)
	}
	if id, seen := h.byKey[string(key)]; seen {
		return id, true
	}
	account, found := config.AccountByKey(string(key))
	if !found {
		return 0, false
	}
	h.byKey[string(key)] = account.ID
	return account.ID, true
}
