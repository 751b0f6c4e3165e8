// Package shell tests the daemon and the command-line tool as processes. It covers invalid flags, documents and calls,
// signals, and requests during failures. It also checks that docs/ lists every setting and every log field.
package shell
