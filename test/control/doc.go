// Package control holds the proofs of the control state under failure: histories of concurrent operators against
// in-process instances with seeded faults, and the same with real processes.
package control
