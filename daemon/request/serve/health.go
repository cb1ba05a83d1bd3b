package serve

import (
	"context"
	"net/http"

	"github.com/trefoilwell/trefoilwell/fleet/request"
)

// healthBody is the response to PathHealth and PathReady.
type healthBody struct {
	Status string `json:"status"`
}

func (h *Handler) health(w http.ResponseWriter, r *http.Request) {
	if h.allowMethods(w, r, http.MethodGet, http.MethodHead) {
		writeJSON(w, http.StatusOK, healthBody{Status: "alive"})
	}
}

func (h *Handler) ready(w http.ResponseWriter, r *http.Request) {
	if !h.allowMethods(w, r, http.MethodGet, http.MethodHead) {
		return
	}
	if detail := h.unreadyReason(); detail != "" {
		WriteRefusal(w, refuse(request.ReasonNotReady, detail))
		return
	}
	writeJSON(w, http.StatusOK, healthBody{Status: "ready"})
}

// unreadyReason returns why a balancer should send no new requests; "" if the router is
// ready.
func (h *Handler) unreadyReason() string {
	config := h.options.Fleet.Config()
	switch {
	case h.limiter.isLeaving():
		return "this router is shutting down"
	case config == nil:
		return "this router has no configuration yet"
	case config.VMOut(h.options.VM) || config.DataCentreOut(h.options.DataCentre):
		return "operators have taken this router out of service"
	}
	return ""
}

// Leave makes the readiness check fail. Requests are still served.
func (h *Handler) Leave() { h.limiter.startLeaving() }

// Close makes the handler refuse every new request.
func (h *Handler) Close() { h.limiter.close() }

// Wait returns when the last request has ended after Close, or with an error when ctx ends.
func (h *Handler) Wait(ctx context.Context) error { return h.limiter.wait(ctx) }
