package operator

import (
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"strconv"

	"github.com/trefoilwell/trefoilwell/daemon/process/quarantine"
)

const (
	// PathHeldPrompts answers GET with the held prompt segments, a list of
	// quarantine.HeldSegment.
	PathHeldPrompts = "/v1/prompts/held"
	// PathReleasePrompt accepts a ReleaseRequest by POST and answers with a ReleaseResponse.
	PathReleasePrompt = "/v1/prompts/release"
	// maxReleaseBytes limits the body of a ReleaseRequest.
	maxReleaseBytes = 1 << 10
)

// Prompts are the held prompt segments of a daemon.
type Prompts interface {
	Held() []quarantine.HeldSegment
	// Release ends the hold on a segment and reports whether there was one.
	Release(segment uint64) bool
}

// ReleaseRequest asks a daemon to end the hold on a prompt segment, in the whole fleet.
type ReleaseRequest struct {
	Segment string `json:"segment"`
}

// ReleaseResponse is the response to a ReleaseRequest. Released is false if the segment was
// not held.
type ReleaseResponse struct {
	Released bool `json:"released"`
}

// AddPrompts adds the handlers of held prompt segments to a mux. Authorisation is up to the
// caller.
func AddPrompts(mux *http.ServeMux, prompts Prompts, log *slog.Logger) {
	mux.HandleFunc("GET "+PathHeldPrompts, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, prompts.Held())
	})
	mux.HandleFunc("POST "+PathReleasePrompt, func(w http.ResponseWriter, r *http.Request) {
		release(w, r, prompts, log)
	})
}

func release(w http.ResponseWriter, r *http.Request, prompts Prompts, log *slog.Logger) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxReleaseBytes))
	if err != nil {
		fail(w, http.StatusRequestEntityTooLarge, "the request is too large or was cut short")
		return
	}
	var asked ReleaseRequest
	if err := json.Unmarshal(body, &asked); err != nil {
		fail(w, http.StatusBadRequest, "the request is not JSON: "+err.Error())
		return
	}
	segment, err := strconv.ParseUint(asked.Segment, 16, 64)
	if err != nil {
		fail(w, http.StatusBadRequest, "the segment is no hexadecimal number")
		return
	}
	released := prompts.Release(segment)
	log.Info("release of a prompt segment", "segment", asked.Segment, "released", released)
	writeJSON(w, http.StatusOK, ReleaseResponse{Released: released})
}
