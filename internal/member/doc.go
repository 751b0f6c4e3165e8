// Package member holds the soft state of the deployment: the nodes and backend servers that have announced
// themselves, each under a lease. It is pure: the clock is passed in.
package member
