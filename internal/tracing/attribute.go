package tracing

import (
	"net/http"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"
)

// tracerName identifies the instrumentation.
const tracerName = "samphireflow/internal/tracing"

// Keys of span attributes: those of the OpenTelemetry semantic conventions, and the project's own.
const (
	keyMethod   = attribute.Key("http.request.method")
	keyPath     = attribute.Key("url.path")
	keyStatus   = attribute.Key("http.response.status_code")
	keyServer   = attribute.Key("server.address")
	keyOutcome  = attribute.Key("samphireflow.outcome")
	keyInstance = attribute.Key("samphireflow.backend_server")
	keyVersion  = attribute.Key("samphireflow.backend_server_version")
)

// headerAttributes maps header fields of responses to the span attributes that record them.
var headerAttributes = map[string]attribute.Key{
	"Samphireflow-Outcome":  keyOutcome,
	"Samphireflow-Instance": keyInstance,
	"Samphireflow-Version":  keyVersion,
}

// endSpan records the response in the span's attributes and ends the span.
func endSpan(span trace.Span, status int, header http.Header) {
	defer span.End()
	if !span.IsRecording() {
		return
	}
	span.SetAttributes(keyStatus.Int(status))
	for name, key := range headerAttributes {
		if value := header.Get(name); value != "" {
			span.SetAttributes(key.String(value))
		}
	}
	if status >= http.StatusInternalServerError {
		span.SetStatus(codes.Error, http.StatusText(status))
	}
}
