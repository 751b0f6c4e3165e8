// Package tracing records spans of calls and passes the trace context on (W3C Trace Context).
//
// Setup chooses where the spans of a process go. Handler makes a span of each request that a server takes, Transport
// one of each request that a client sends. Without an exporter both leave requests as they are, trace context included.
package tracing
