// Package node is the node role: it follows the configuration, leases its backend server's place in the
// deployment, reports outcomes and gives the proxy its routing table.
package node
