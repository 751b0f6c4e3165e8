package daemon

import (
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/gate"
	"samphireflow/internal/node"
	"samphireflow/internal/routing"
)

// gateTerms returns what a routing table, which may be nil, says of the calls to a backend server.
func gateTerms(table *routing.Table, server *apiv1.BackendServer) gate.Terms {
	if table == nil {
		return gate.Terms{Unknown: true}
	}
	terms := gate.Terms{
		Evacuated:       table.Evacuated[server.FailureDomain],
		EvacuationEnded: table.EvacuationEnds[server.FailureDomain],
	}
	if service := table.Service(server.Service); service != nil {
		terms.ColdRate, terms.ColdStart = service.Settings.ColdRate, service.Settings.ColdStart
	}
	return terms
}

// announcedUnlessEvacuated returns the announced backend server, as draining while its failure domain is evacuated.
func announcedUnlessEvacuated(n *node.Node) *apiv1.BackendServer {
	server := n.Announced()
	if server == nil || server.State != apiv1.ServerState_SERVER_STATE_READY || !gateTerms(n.Table(), server).Evacuated {
		return server
	}
	draining := proto.Clone(server).(*apiv1.BackendServer)
	draining.State = apiv1.ServerState_SERVER_STATE_DRAINING
	return draining
}
