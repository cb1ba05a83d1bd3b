package edge

import (
	"net/http"

	"github.com/trefoilwell/trefoilwell/daemon/process/operator"
)

// newOperatorHandler returns the handler of the metrics listener. It serves the metrics at any
// path, and operators' calls, which need the fleet secret as their token.
func (d *Daemon) newOperatorHandler() http.Handler {
	calls := http.NewServeMux()
	operator.AddPrompts(calls, d.quarantine, d.log)
	operator.AddLimits(calls, d.placing.Limits)
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
