// Package node implements the node role: it watches the configuration, renews the leases of the node and of the backend
// server that runs beside it, reports the outcomes of calls and builds the routing table of the proxy.
package node
