package member

import (
	apiv1 "samphireflow/api/v1"
)

// Changes are the records of a table that another table lacks.
type Changes struct {
	Nodes   []*apiv1.NodeInfo
	Servers []*apiv1.BackendServer
	// Full means that the lists hold all records rather than only those that changed.
	Full bool
	// Seq is the sync sequence number of the last change that the lists cover.
	Seq uint64
}
