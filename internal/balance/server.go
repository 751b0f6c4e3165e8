package balance

import (
	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/placement"
)

// Server is a backend server as one node knows it. Load and Stats are kept when a new routing table is built.
type Server struct {
	Info *apiv1.BackendServer
	// Load is used to choose the backend server for calls over granted connections.
	Load *Load
	// Stats is used to choose the backend server for calls that all pass the gate beside it.
	Stats *placement.ServerStats
}
