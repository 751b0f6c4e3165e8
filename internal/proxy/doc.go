// Package proxy carries the calls of callers to backend servers.
//
// A call takes one hop, from the node to the backend server, over a connection that the node beside the backend server
// has granted. Without a granted connection it takes two: the node beside the backend server passes it on (see Gate).
package proxy
