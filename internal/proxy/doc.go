// Package proxy forwards the calls of callers to backend servers.
//
// Usually a call takes one hop: the node sends it straight to the backend server, over a connection that the backend
// server's own node has granted. Without a granted connection it takes two hops, and the backend server's node forwards it
// (see Gate).
package proxy
