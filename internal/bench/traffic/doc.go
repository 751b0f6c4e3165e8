// Package traffic measures the latency that the system adds to a call, and its behavior under overload and crashes. The
// baseline of the latency is the caller's own direct call to the backend server in the same run.
package traffic
