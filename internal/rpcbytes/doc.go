// Package rpcbytes counts the bytes that the control address of a process receives and sends: those of requests and
// responses by method, and all bytes of its connections. The difference is what framing, header fields and pings take.
package rpcbytes
