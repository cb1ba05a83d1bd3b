package platform

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"

	"github.com/cockroachdb/errors"

	client "github.com/trefoilwell/trefoilwell/daemon/connection/platform"
)

// controlPath begins the paths by which a test in another process sets the
// stand-in up. Faults do not touch them.
//
//	PUT /lab/faults  replaces the Faults
//	PUT /lab/vms     replaces the list of VMs
//	GET /lab/counts  answers with the Counts
const controlPath = "/lab/"

func (p *Platform) controls() {
	p.mux.HandleFunc("PUT "+controlPath+"faults", func(w http.ResponseWriter, r *http.Request) {
		var faults Faults
		if decode(w, r, &faults) {
			p.SetFaults(faults)
		}
	})
	p.mux.HandleFunc("PUT "+controlPath+"vms", func(w http.ResponseWriter, r *http.Request) {
		var vms []client.VM
		if decode(w, r, &vms) {
			p.SetVMs(vms)
		}
	})
	p.mux.HandleFunc("GET "+controlPath+"counts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, p.Counts())
	})
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, client.MaxValueBytes)).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// ErrAnswerLost is returned by Transport for a call whose answer was lost.
var ErrAnswerLost = errors.New("answer lost")

// Transport returns a transport that calls the stand-in without a network, so
// that a test can run in virtual time.
func (p *Platform) Transport() http.RoundTripper { return transport{p} }

type transport struct{ platform *Platform }

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(r *http.Request) (response *http.Response, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			if cause != http.ErrAbortHandler {
				panic(cause)
			}
			response, err = nil, ErrAnswerLost
		}
	}()
	recorder := httptest.NewRecorder()
	t.platform.ServeHTTP(recorder, r)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return recorder.Result(), nil
}
