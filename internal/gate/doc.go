// Package gate is the node's side towards the backend server beside it. Every call to that backend server passes its
// gate, which therefore knows exactly what runs: it holds calls to the number of slots, decides which call waits and
// which is refused, and refuses all once the backend server leaves.
package gate
