// Package tree implements the operators' tree of settings: branches, their schema, the resolution of inherited
// settings and compare-and-set edits. It is deterministic: it uses no clock and no I/O.
package tree
