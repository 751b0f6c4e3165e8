// Package ingress serves the calls of the callers on an instance. It matches the route, chooses the backend server and
// sends the call to that server's gate. It decides which calls are retried and which are refused.
package ingress
