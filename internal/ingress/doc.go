// Package ingress takes the calls of the callers on an instance: it finds the route, chooses the backend server and sends
// the call to the gate beside it. It decides what is sent again and what is refused.
package ingress
