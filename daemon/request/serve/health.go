package serve

import (
	"context"
	"net/http"

	"github.com/trefoilwell/trefoilwell/fleet/request"
)

// healthBody is the answer to PathHealth and PathReady.
type healthBody struct {
	Status string `json:"status"`
}

func (h *Handler) health(w http.ResponseWriter, r *http.Request) {
	if h.allow(w, r, http.MethodGet, http.MethodHead) {
		writeJSON(w, http.StatusOK, healthBody{Status: "alive"})
	}
}

func (h *Handler) ready(w http.ResponseWriter, r *http.Request) {
	if !h.allow(w, r, http.MethodGet, http.MethodHead) {
		return
	}
	if detail := h.unready(); detail != "" {
		WriteRefusal(w, refuse(request.ReasonNotReady, detail))
		return
	}
	writeJSON(w, http.StatusOK, healthBody{Status: "ready"})
}

// unready says why a balancer should send no new requests; "" if it may.
func (h *Handler) unready() string {
	config := h.options.Fleet.Config()
	switch {
	case h.holdings.isLeaving():
		return "this router is shutting down"
	case config == nil:
		return "this router has no configuration yet"
	case config.VMOut(h.options.VM) || config.DataCentreOut(h.options.DataCentre):
		return "operators have taken this router out of service"
	}
	return ""
}

// Leave turns readiness off. Requests are still served.
func (h *Handler) Leave() { h.holdings.leaves() }

// Close refuses every new request from now on.
func (h *Handler) Close() { h.holdings.close() }

// Wait returns when, after Close, the last request has ended.
func (h *Handler) Wait(ctx context.Context) error { return h.holdings.wait(ctx) }
