// Package local is a circuit breaker for moves: it lets a node stop sending calls to the new version at once, based on the
// outcomes that this node observes.
//
// A breaker can only lower the exposure: it allows the share that control set, or none. After a pause the node tries the
// new version again, at no more than the share that control has set by then. Control rolls the move back for all nodes,
// based on the sum of their reports.
//
// The package does no I/O. Callers pass in the time.
package local
