// Package local lets a node stop sending calls to the new version of a move at once, on what the node itself sees.
//
// It only ever works in the safe direction: the share that it allows is the one that control set, or none. The node
// tries the new version again after a pause, at most at the share that control has set by then; control takes the
// version back for all nodes on the sum of their reports.
//
// The package is pure: the clock is passed in.
package local
