// Package callerconn is the HTTP/1.1 server for the connections of callers. Unlike net/http's server it reads ahead: it
// handles pipelined requests in parallel and sends their responses in the order of the requests. It also notices that a
// caller has closed its connection while further requests wait on it, as long as these are shorter than maxReadAhead.
package callerconn
