// Package distribution carries configuration and membership from the control group to the nodes: the watch server
// that control instances and relays share, and the relay, an ordinary node that passes versions down to the nodes of
// its failure domain and their leases and outcomes up.
package distribution
