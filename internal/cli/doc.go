// Package cli is the operators' command-line tool: it edits and reads the tree of settings, starts and follows
// moves, and shows instances, through the twirp services of the control instances and nodes.
//
// Exit codes are the constants named Exit.
package cli
