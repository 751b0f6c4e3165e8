package tracing

import (
	"net/http"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// Transport makes a span of each request that is sent within a trace and passes the trace context on. A request
// outside of a trace is sent as it is.
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

// RoundTrip sends the request within a span of its own.
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
	// The caller's request stays as it is (http.RoundTripper).
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
