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
	// Readers see only backend servers, so no change of a node is visible to them.
	sameForReaders: func(a, b *apiv1.NodeInfo) bool { return true },
	// A node has no state that outlives its records.
	precedence: func(a, b *apiv1.NodeInfo) int { return 0 },
}

var serverKind = recordKind[*apiv1.BackendServer]{
	gone: func(server *apiv1.BackendServer) bool { return server.State == apiv1.ServerState_SERVER_STATE_GONE },
	end: func(server *apiv1.BackendServer) *apiv1.BackendServer {
		ended := proto.Clone(server).(*apiv1.BackendServer)
		ended.State = apiv1.ServerState_SERVER_STATE_GONE
		return ended
	},
	sameForReaders: sameForReaders,
	precedence:     drainPrecedence,
}

// drainPrecedence orders two records of one incarnation of a backend server by what is known of its end: one that says that
// it leaves comes first, then the one with the newer order of an operator. A node that has restarted knows of neither, and its
// higher revision must not undo what was acknowledged before.
func drainPrecedence(a, b *apiv1.BackendServer) int {
	switch {
	case a.Leaving != b.Leaving:
		return sign(a.Leaving)
	case a.DrainOrder != b.DrainOrder:
		return sign(a.DrainOrder > b.DrainOrder)
	}
	return 0
}

// sameForReaders reports whether two records agree in all fields that readers see.
func sameForReaders(a, b *apiv1.BackendServer) bool {
	return proto.Equal(readerView(a), readerView(b))
}

// readerView returns a copy without the fields that no reader of the table acts on.
func readerView(server *apiv1.BackendServer) *apiv1.BackendServer {
	view := proto.Clone(server).(*apiv1.BackendServer)
	view.InFlight = 0
	view.Revision = 0
	view.Home = ""
	view.DrainOrder = 0
	view.DrainOrdered = false
	return view
}
