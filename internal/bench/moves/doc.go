// Package moves measures how moves end: good versions that are whole in time, bad versions that are taken back, and
// what callers bear meanwhile, against moves that go by the clock alone.
//
// Clock, calls, nodes and backend servers are simulated. The state machine, the driver with its judge, the summing of
// outcomes and the breaker of each node are those of the product.
package moves
