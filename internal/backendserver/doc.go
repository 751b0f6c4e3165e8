// Package backendserver is a small stand-in for a real backend server.
//
// It serves calls with a limited number of slots and connections, announces itself to the node beside it, reports its
// load, drains, sheds load, and honours cancellation and deadlines. Faults are switched on while it runs (see FaultSet),
// and it records each execution so that tests can count how often a request ran.
package backendserver
