// Package story merges the log lines of several processes into one order, and selects those of one request or those that
// log state changes.
package story
