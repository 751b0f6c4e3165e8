// Package slowdown keeps what a backend server says of the speed of its machine at this moment. It reads no clock and does
// no input or output; the current time is passed in.
package slowdown
