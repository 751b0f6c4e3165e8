// Package netfault injects network partitions: a test can cut off a running process from chosen addresses. As in a real
// partition, no error is reported. Dials and data in flight wait until the cut is healed or the connection is closed.
//
// All clients of the daemon dial with Dialer or DialerWith. Until Enable is called, these return plain connections.
package netfault
