package member

import (
	apiv1 "samphireflow/api/v1"
)

// Changes are the records of a table that another one lacks.
type Changes struct {
	Nodes   []*apiv1.NodeInfo
	Servers []*apiv1.BackendServer
	// Full means that the lists are complete.
	Full bool
	// Seq is the sync number up to which the changes go.
	Seq uint64
}
