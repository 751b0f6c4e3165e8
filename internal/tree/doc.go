// Package tree holds the operators' tree of settings: branches, their schema, the resolution of inherited
// settings and the compare-and-set edits. It is pure: no clock, no I/O.
package tree
