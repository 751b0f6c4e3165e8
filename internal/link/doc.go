// Package link shares the network link of an instance among the responses that a gate sends to other nodes.
package link
