// Package state is the state machine behind the replicated log: the tree of settings, the moves of services to
// new versions, the history, and the first answers to requests. It is deterministic: the only clock is the one
// that the leader wrote into a command.
package state
