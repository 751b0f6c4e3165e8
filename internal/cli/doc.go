// Package cli implements the command-line tool for operators. The tool reads and edits the tree of settings, starts and
// follows moves, and lists instances. It calls the twirp services of the control instances and nodes.
//
// The constants whose names begin with Exit are its exit codes.
package cli
