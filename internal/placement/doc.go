// Package placement chooses the backend server for a call by the statistics that a node keeps of each backend server. It
// reads no clock and does no input or output; the current time and the random source are passed in.
package placement
