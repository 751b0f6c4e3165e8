// Package replica runs one member of the control group. The group replicates a log by Raft, and each member applies the
// log to its state machine.
//
// A single goroutine, the loop, owns the Raft node, the data folder and the state machine. It receives messages,
// proposals and reads over channels and handles them in batches: it syncs the data folder once per batch, and only then
// sends the replies that depend on the sync.
package replica
