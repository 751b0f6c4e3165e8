package daemon

import (
	"net/http"

	"samphireflow/internal/admin"
)

// adminHandler serves the admin address, with the endpoint of fault injection where that is on.
func (d *Daemon) adminHandler() http.Handler {
	if d.faults == nil {
		return admin.Handler(d, d.registry, nil)
	}
	return admin.Handler(d, d.registry, d.faults)
}
