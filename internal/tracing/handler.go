package tracing

import (
	"net/http"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// Handler records a span for each request, as a child of the trace context in the request. The span's name is the role
// and the method.
func Handler(role string, next http.Handler) http.Handler {
	if !enabled.Load() {
		return next
	}
	tracer := otel.Tracer(tracerName)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := tracer.Start(ctx, role+" "+r.Method,
			trace.WithSpanKind(trace.SpanKindServer),
			trace.WithAttributes(keyMethod.String(r.Method), keyPath.String(r.URL.Path)),
		)
		recorder := &statusRecorder{ResponseWriter: w, status: http.StatusOK}
		defer func() { endSpan(span, recorder.status, recorder.Header()) }()
		next.ServeHTTP(recorder, r.WithContext(ctx))
	})
}

// TracedOnly is like Handler, but records spans only for requests that carry a trace context. Long polls and heartbeats
// carry none.
func TracedOnly(role string, next http.Handler) http.Handler {
	if !enabled.Load() {
		return next
	}
	traced := Handler(role, next)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerTraceparent) == "" {
			next.ServeHTTP(w, r)
			return
		}
		traced.ServeHTTP(w, r)
	})
}

// headerTraceparent is the header field that carries the trace context of a request (W3C Trace Context).
const headerTraceparent = "Traceparent"
