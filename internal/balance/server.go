package balance

import (
	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/placement"
)

// Server is a backend server as one node knows it. Load and Stats are kept when a new routing table is built.
type Server struct {
	Info *apiv1.BackendServer
	// Load is what package proxy chooses by; its calls may go straight to the backend server over granted connections.
	Load *Load
	// Stats is what package ingress chooses by; its calls all pass the gate beside the backend server.
	Stats *placement.ServerStats
}
