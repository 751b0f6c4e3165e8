// Package move decides how a service moves to a new backend server version: when the new version gets a larger share of
// the calls, and when the move is rolled back (state TAKEN_BACK). A Judge evaluates the call outcomes of one move; a
// shortJudge does so for moves that last at most two minutes. The Driver holds the judges of all active moves for the
// control goroutine of the leader.
//
// A move goes through partial stages, at which both versions get calls, up to the full share, at which the new version
// gets all calls. It then stays under watch for a time set by the policy before it is done.
//
// The package does no I/O. Callers pass in the time, and each decision is returned as a proposal for the replicated log.
package move
