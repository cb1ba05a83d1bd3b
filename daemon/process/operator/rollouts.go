package operator

import (
	"net/http"

	"github.com/trefoilwell/trefoilwell/fleet/process/rollout"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// PathRollouts answers GET with a RolloutStatus.
const PathRollouts = "/v1/rollouts"

// RolloutStatus is what a daemon on the users' platform knows of the rollouts of software versions.
type RolloutStatus struct {
	VM version.VMID `json:"vm"`
	// Inactive is set if the settings do not ask for rollouts.
	Inactive bool               `json:"inactive,omitempty"`
	Rollouts []rollout.Overview `json:"rollouts"`
	// Withdrawn counts the attempts that were not sent because their upstream's version was no
	// longer allowed.
	Withdrawn uint64        `json:"withdrawn"`
	Writes    RolloutWrites `json:"writes"`
}

// RolloutWrites counts this daemon's writes of statuses by what came of them.
type RolloutWrites struct {
	Applied   uint64 `json:"applied"`
	Conflicts uint64 `json:"conflicts"`
	Refused   uint64 `json:"refused"`
	// Unknown counts those whose answer was lost and that may still be applied.
	Unknown uint64 `json:"unknown"`
}

// AddRollouts adds the handler of the rollouts to a mux. Authorisation is up to the caller.
func AddRollouts(mux *http.ServeMux, status func() RolloutStatus) {
	mux.HandleFunc("GET "+PathRollouts, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, status())
	})
}
