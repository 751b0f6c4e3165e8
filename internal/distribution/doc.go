// Package distribution distributes configuration and membership from the control group to the nodes. It contains the
// watch server, which control instances and relays share, and the relay. A relay is an ordinary node that forwards
// configuration versions to the nodes of its failure domain, and their leases and call outcomes to the control group.
package distribution
