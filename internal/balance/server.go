package balance

import (
	apiv1 "samphireflow/api/v1"
)

// Server is a backend server as a node sees it. The load outlives the tables that refer to it.
type Server struct {
	Info *apiv1.BackendServer
	Load *Load
}
