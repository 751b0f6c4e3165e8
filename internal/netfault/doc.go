// Package netfault lets a test cut a running process off from chosen addresses. A cut is silent, as a network
// partition is: dials and bytes under way wait until the cut heals or the connection is closed.
//
// Every client of the daemon dials through Dialer. Without Enable, connections are those of net.Dialer.
package netfault
