// Package member tracks the members of the deployment: the nodes and backend servers that have announced themselves,
// each under a lease. The state is soft: it is kept in memory only and rebuilt from renewals. The package does no I/O
// and reads no clock: the current time is an argument.
package member
