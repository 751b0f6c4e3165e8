package balance

import (
	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/placement"
)

// Server is a backend server as a node sees it. Load and view outlive the tables that refer to it.
type Server struct {
	Info *apiv1.BackendServer
	// Load is for calls over granted connections.
	Load *Load
	// Stats is for calls that all pass the gate beside the backend server.
	Stats *placement.ServerStats
}
