package operator

import (
	"net/http"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// PathStore answers GET with a StoreStatus.
const PathStore = "/v1/store"

// StoreStatus is what a daemon on the users' platform follows of the metadata store.
type StoreStatus struct {
	VM version.VMID `json:"vm"`
	// Era counts the store's returns from older copies, from 1; 0 if it names none. EraSince is
	// when the daemon first heard of the era; zero if it has heard of no other.
	Era      uint64    `json:"era"`
	EraSince time.Time `json:"era_since"`
	// Version is the configuration version in force, and AgeMS how long ago, in milliseconds, it
	// was confirmed; -1 if it is not confirmed.
	Version version.Number `json:"version"`
	AgeMS   int64          `json:"age_ms"`
	// Keyless is set if that version has no section of client accounts, so that requests run
	// without an API key.
	Keyless bool `json:"keyless"`
}

// AddStore adds the handler of the store's status to a mux. Authorisation is up to the caller.
func AddStore(mux *http.ServeMux, status func() StoreStatus) {
	mux.HandleFunc("GET "+PathStore, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, status())
	})
}
