package node

import "time"

// drainOrder is the newest order of an operator to drain the backend server beside a node, or to undo that. Its zero value
// stands for none. It ends with the incarnation of the backend server.
type drainOrder struct {
	// number increases from order to order, also over restarts of the node.
	number uint64
	drain  bool
}

// next returns the order that follows this one.
func (o drainOrder) next(drain bool, now time.Time) drainOrder {
	return drainOrder{max(o.number+1, uint64(now.UnixMicro())), drain}
}
