// Package shell tests the daemon and the command-line tool as a user meets them: as processes, with flags, documents,
// signals and calls that are wrong or come at a bad time.
package shell
