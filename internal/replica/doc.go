// Package replica runs one control instance's part of the replicated log.
//
// One goroutine owns the consensus node, the data folder and the state machine. It takes messages, proposals and
// reads from channels, syncs all that it took in one go, and only then answers.
package replica
