package routing

import (
	apiv1 "samphireflow/api/v1"
)

// Node is the node beside an announced backend server.
type Node struct {
	// Addr is its control address.
	Addr          string
	FailureDomain string
	// Leaving is set if the backend server drains, which it also does while the node stops.
	Leaving bool
}

// listNodes returns the nodes beside the backend servers, each once.
func listNodes(servers []*apiv1.BackendServer) []Node {
	nodes := make([]Node, 0, len(servers))
	index := make(map[string]int, len(servers))
	for _, server := range servers {
		if server.NodeControlAddr == "" {
			continue
		}
		leaving := server.State == apiv1.ServerState_SERVER_STATE_DRAINING
		if at, known := index[server.NodeControlAddr]; known {
			nodes[at].Leaving = nodes[at].Leaving && leaving
			continue
		}
		index[server.NodeControlAddr] = len(nodes)
		nodes = append(nodes, Node{server.NodeControlAddr, server.FailureDomain, leaving})
	}
	return nodes
}

// Nodes returns the nodes beside the announced backend servers. The slice must not be modified.
func (t *Table) Nodes() []Node {
	return t.nodes
}
