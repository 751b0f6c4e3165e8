// Package hop packs the header fields of calls between nodes. A call's fields and those of its answer are about as long as
// its body, and most of them repeat from call to call: HPACK (RFC 7541) makes a quarter of them. The messages stay
// HTTP/1.1 with one exchange at a time on a connection, so that what is lost with a connection is one call.
//
// Load pattern: at high load a call is refused by full gates before one takes it, and each question carries all of the
// call's fields between failure domains.
package hop
