// Package limit bounds what a node sends: the calls in flight at one backend server, the queued calls, the retries, the
// rate of calls to a resource, and the connections that all nodes together keep to one backend server. The current time
// is a parameter wherever it matters, so the results depend on the arguments and earlier calls only.
package limit
