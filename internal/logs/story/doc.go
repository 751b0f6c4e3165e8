// Package story puts the log lines of several processes in one order, and picks those that tell of one request or of what
// the processes believe.
package story
