package member

import (
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
)

var nodeKind = recordKind[*apiv1.NodeInfo]{
	gone: func(info *apiv1.NodeInfo) bool { return info.Gone },
	end: func(info *apiv1.NodeInfo) *apiv1.NodeInfo {
		ended := proto.Clone(info).(*apiv1.NodeInfo)
		ended.Gone = true
		return ended
	},
	// Readers of the table see no nodes.
	same: func(a, b *apiv1.NodeInfo) bool { return true },
}

var serverKind = recordKind[*apiv1.BackendServer]{
	gone: func(server *apiv1.BackendServer) bool { return server.State == apiv1.ServerState_SERVER_STATE_GONE },
	end: func(server *apiv1.BackendServer) *apiv1.BackendServer {
		ended := proto.Clone(server).(*apiv1.BackendServer)
		ended.State = apiv1.ServerState_SERVER_STATE_GONE
		return ended
	},
	same: sameForReaders,
}

// sameForReaders reports whether two records differ in nothing that a balancer acts on.
func sameForReaders(a, b *apiv1.BackendServer) bool {
	return proto.Equal(forReaders(a), forReaders(b))
}

func forReaders(server *apiv1.BackendServer) *apiv1.BackendServer {
	seen := proto.Clone(server).(*apiv1.BackendServer)
	seen.InFlight = 0
	seen.Revision = 0
	seen.Home = ""
	return seen
}
