package tracing

import (
	"net/http"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"
)

// tracerName names the instrumentation.
const tracerName = "samphireflow/internal/tracing"

// Keys of the attributes of a span (OpenTelemetry semantic conventions, and our own).
const (
	keyMethod   = attribute.Key("http.request.method")
	keyPath     = attribute.Key("url.path")
	keyStatus   = attribute.Key("http.response.status_code")
	keyServer   = attribute.Key("server.address")
	keyOutcome  = attribute.Key("samphireflow.outcome")
	keyInstance = attribute.Key("samphireflow.backend_server")
	keyVersion  = attribute.Key("samphireflow.backend_server_version")
)

// Headers of answers that become attributes.
var headerKeys = map[string]attribute.Key{
	"Samphireflow-Outcome":  keyOutcome,
	"Samphireflow-Instance": keyInstance,
	"Samphireflow-Version":  keyVersion,
}

// endSpan adds what the answer tells to a span and ends it.
func endSpan(span trace.Span, status int, header http.Header) {
	defer span.End()
	if !span.IsRecording() {
		return
	}
	span.SetAttributes(keyStatus.Int(status))
	for name, key := range headerKeys {
		if value := header.Get(name); value != "" {
			span.SetAttributes(key.String(value))
		}
	}
	if status >= http.StatusInternalServerError {
		span.SetStatus(codes.Error, http.StatusText(status))
	}
}
