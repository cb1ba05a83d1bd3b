package edge

import (
	"net/http"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/process/clock"
	"github.com/trefoilwell/trefoilwell/daemon/process/operator"
)

// newOperatorHandler returns the handler of the metrics listener. It serves the metrics at any
// path, and operators' calls, which need the fleet secret as their token.
func (d *Daemon) newOperatorHandler() http.Handler {
	calls := http.NewServeMux()
	operator.AddPrompts(calls, d.quarantine, d.log)
	operator.AddLimits(calls, d.placing.Limits)
	operator.AddStore(calls, d.storeStatus)
	operator.AddSoftware(calls, d.software.status)
	operator.AddRollouts(calls, d.rolloutStatus)
	operator.AddExplain(calls, d.explain)
	mux := http.NewServeMux()
	mux.Handle("/", d.metrics)
	mux.HandleFunc("/v1/", func(w http.ResponseWriter, r *http.Request) {
		token := ""
		if secret := d.secret.Load(); secret != nil {
			token = *secret
		}
		if operator.Authorise(w, r, token) {
			calls.ServeHTTP(w, r)
		}
	})
	return mux
}

// storeStatus returns what this process follows of the store.
func (d *Daemon) storeStatus() operator.StoreStatus {
	status := operator.StoreStatus{VM: d.settings.Load().VM, AgeMS: -1}
	var since time.Time
	status.Era, since = d.mirror.Era()
	if !since.IsZero() {
		// The mirror's clock is not the time of day.
		status.EraSince = time.Now().Add(-clock.Boot().Sub(since)).Round(0)
	}
	if config := d.placing.Config(); config != nil {
		status.Version, status.Keyless = config.Number, config.Keyless
	}
	if confirmed := d.mirror.Confirmed(); !confirmed.IsZero() {
		status.AgeMS = clock.Boot().Sub(confirmed).Milliseconds()
	}
	return status
}
