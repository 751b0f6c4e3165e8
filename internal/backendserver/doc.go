// Package backendserver simulates a backend server for tests and demos.
//
// It serves calls with a limited number of slots and connections, announces itself to the node beside it, reports its
// load, drains, sheds load, and honours cancellation and deadlines. Faults can be injected while it runs (see FaultSet).
// It records each execution so that tests can count how often a request ran.
package backendserver
