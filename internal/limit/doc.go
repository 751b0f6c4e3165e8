// Package limit bounds what a node sends: the calls in flight at one backend server, the calls that wait, the retries,
// the rate of a resource, and the connections that all nodes together keep to one backend server. The decisions are
// pure: clocks are passed in.
package limit
