// Package distribution measures how configuration and membership reach the nodes. Control instances and relays run as
// processes of their own. The other nodes share the process of the benchmark, each with its real state, codec and
// sockets.
package distribution
