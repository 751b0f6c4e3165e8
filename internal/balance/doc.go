// Package balance chooses the backend server for a call. It knows what one node knows: its own calls in flight, the load
// that backend servers report on their answers, and how its calls ended. The clock and the random source are passed in.
package balance
