// Package routing holds the table by which a node routes calls. The table is immutable and shared by all calls; a new one
// is built for each configuration version and each change of the set of backend servers.
package routing
