// Package control implements the control role. On top of the replicated log, it serves the tree of settings, the moves,
// the distribution of configurations to nodes, and the membership. The leader also judges moves, assigns nodes to roles
// and adopts versions of services.
package control
