// Package moves measures how moves end: how many good versions reach their full share in time, how many bad versions
// are rolled back, and what callers see meanwhile. The baseline is a move that follows the clock alone.
//
// The clock, the calls, the nodes and the backend servers are simulated. The state machine, the driver with its judge,
// the aggregation of outcomes and the breaker of each node are those of the product.
package moves
