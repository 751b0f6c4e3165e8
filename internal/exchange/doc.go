// Package exchange is an HTTP/1.1 client that reports the outcome of each request as exactly as possible. A request
// of which no byte was written to the network has certainly not run. A response counts only if it is complete and bears
// the ID of the request.
//
// It replaces net/http's Transport, which decides by the method whether it retries a request. Here that depends on the
// route. Transport also does not recognize a response that belongs to an earlier request on the same connection.
package exchange
