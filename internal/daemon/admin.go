package daemon

import (
	"net/http"

	"samphireflow/internal/admin"
)

// adminHandler returns the handler of the admin address. It includes the fault injection endpoint where fault injection
// is enabled.
func (d *Daemon) adminHandler() http.Handler {
	if d.faults == nil {
		return admin.Handler(d, d.registry, nil)
	}
	return admin.Handler(d, d.registry, d.faults)
}
