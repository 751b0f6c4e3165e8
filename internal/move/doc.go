// Package move decides how a service moves to a new backend server version: when its share of calls goes up, and
// when the move is taken back. A Judge weighs the outcomes of calls of one move, a Driver keeps the judges of all
// moves for the control goroutine of the leader.
//
// The package is pure: the clock is passed in, there is no I/O, and decisions leave as proposals for the replicated log.
package move
