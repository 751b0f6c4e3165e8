// Package distribution measures how configuration and membership reach the nodes: real control instances and relays
// as processes, and the other nodes many to a process, with their real state, codec and sockets.
package distribution
