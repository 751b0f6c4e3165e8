// Package raft implements the consensus of the control instances as a deterministic state machine.
//
// A Node takes messages, ticks and proposals and returns its outstanding work as a Ready: hard state, entries and a
// snapshot to persist, messages to send and entries to apply. It does no I/O and reads no clock, so the daemon, the
// seeded tests and the benchmarks run the same code. A Node is not safe for concurrent use.
//
// The algorithm is Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014) with pre-vote (section 9.6),
// check-quorum (6.2), read-index (6.4) and membership changes of one voter at a time (4.1).
package raft
