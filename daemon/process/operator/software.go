package operator

import (
	"net/http"

	"github.com/trefoilwell/trefoilwell/fleet/process/resume"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// PathSoftware answers GET with a SoftwareStatus.
const PathSoftware = "/v1/software"

// SoftwareStatus is what a daemon on the users' platform knows of the software versions of
// upstreams, and of the streams that they began.
type SoftwareStatus struct {
	VM       version.VMID         `json:"vm"`
	Versions []resume.PoolVersion `json:"versions"`
	// Certain is set if no version but the recorded ones can have begun a stream that callers may
	// still take up.
	Certain bool `json:"certain"`
	// Streams is the number of streams whose version is remembered, some of them counted twice.
	Streams int `json:"streams"`
	// Resumed and Unknown count the streams that callers have taken up here, and those that were
	// refused because it is not known which version began them.
	Resumed uint64 `json:"resumed"`
	Unknown uint64 `json:"unknown"`
}

// AddSoftware adds the handler of the software versions to a mux. Authorisation is up to the caller.
func AddSoftware(mux *http.ServeMux, status func() SoftwareStatus) {
	mux.HandleFunc("GET "+PathSoftware, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, status())
	})
}
