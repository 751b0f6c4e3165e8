package tracing

import (
	"net/http"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// Transport records a span for each request that is sent within a trace, and propagates the trace context. A request
// outside of a trace is sent unchanged.
func Transport(next http.RoundTripper) http.RoundTripper {
	if !enabled.Load() {
		return next
	}
	return &transport{next: next, tracer: otel.Tracer(tracerName)}
}

type transport struct {
	next   http.RoundTripper
	tracer trace.Tracer
}

// RoundTrip sends the request and records a client span for it.
func (t *transport) RoundTrip(request *http.Request) (*http.Response, error) {
	if !trace.SpanContextFromContext(request.Context()).IsValid() {
		return t.next.RoundTrip(request)
	}
	ctx, span := t.tracer.Start(request.Context(), "send "+request.Method,
		trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(
			keyMethod.String(request.Method),
			keyPath.String(request.URL.Path),
			keyServer.String(request.URL.Host),
		),
	)
	// An http.RoundTripper must not modify the request.
	traced := request.Clone(ctx)
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(traced.Header))
	response, err := t.next.RoundTrip(traced)
	if err != nil {
		span.RecordError(err)
		span.SetStatus(codes.Error, "no answer")
		span.End()
		return nil, err
	}
	endSpan(span, response.StatusCode, response.Header)
	return response, nil
}
