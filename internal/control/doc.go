// Package control is the control role: it serves the tree, the moves, the distribution and the membership on top
// of the replicated log.
package control
