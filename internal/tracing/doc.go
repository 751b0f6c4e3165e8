// Package tracing records spans of calls and propagates the trace context (W3C Trace Context).
//
// Setup selects the exporter of the process's spans. Handler records a span for each request that a server receives,
// Transport one for each request that a client sends. Without an exporter, both leave requests unchanged, including their
// trace context.
package tracing
