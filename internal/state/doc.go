// Package state is the state machine behind the replicated log. It holds the tree of settings, the moves of services to
// new versions, the assignments of nodes, the published document, the history, and the stored answers to requests.
//
// The state machine is deterministic: it reads no clock and uses only the time that the leader wrote into a command.
package state
