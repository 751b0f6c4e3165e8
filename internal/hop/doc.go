// Package hop compresses the header fields of calls between nodes with HPACK (RFC 7541). The header fields of a call and of
// its response are about as long as the body, and most of them repeat from call to call. HPACK reduces them to a quarter.
// The messages remain HTTP/1.1 with one exchange at a time on a connection, so that a failed connection affects one call
// only.
//
// Load pattern: at high load, full gates refuse a call before one admits it. Each of these attempts sends all header fields
// of the call between failure domains.
package hop
