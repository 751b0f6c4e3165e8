package tracing

import (
	"context"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

// Keys of the attributes that identify a process: those of the OpenTelemetry semantic conventions, and the project's own.
const (
	keyServiceName     = attribute.Key("service.name")
	keyServiceInstance = attribute.Key("service.instance.id")
	keyFailureDomain   = attribute.Key("samphireflow.failure_domain")
)

// serviceNamePrefix is followed by the role in the service name of each process.
const serviceNamePrefix = "samphireflow-"

// enabled is true once Setup has started recording spans.
var enabled atomic.Bool

// flushTimeout bounds the export of the remaining spans at shutdown.
const flushTimeout = 3 * time.Second

// Shutdown exports the remaining spans and closes the exporter.
type Shutdown func() error

// Setup starts recording spans. It must be called before Handler and Transport.
func Setup(ctx context.Context, options Options) (Shutdown, error) {
	if options.Exporter == ExporterNone || options.Exporter == "" {
		return func() error { return nil }, nil
	}
	exporter, closeTarget, err := newExporter(ctx, options)
	if err != nil {
		return nil, errors.WithMessage(err, "traces")
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(options.SampleRatio))),
		sdktrace.WithResource(newResource(options)),
	)
	otel.SetTracerProvider(provider)
	otel.SetErrorHandler(otel.ErrorHandlerFunc(options.handleError))
	otel.SetTextMapPropagator(propagation.NewCompositeTextMapPropagator(propagation.TraceContext{}, propagation.Baggage{}))
	enabled.Store(true)
	return func() error {
		ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
		defer cancel()
		err := provider.Shutdown(ctx)
		if closed := closeTarget(); err == nil {
			err = closed
		}
		return errors.Wrap(err, "traces")
	}, nil
}

// newExporter opens the target of the spans. The returned function closes the target; call it after the exporter has
// been shut down.
func newExporter(ctx context.Context, options Options) (sdktrace.SpanExporter, func() error, error) {
	if options.Exporter == ExporterOTLP {
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(options.Target))
		return exporter, func() error { return nil }, errors.Wrap(err, "open the collector")
	}
	file, err := os.OpenFile(options.Target, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, nil, errors.Wrap(err, "open the file")
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	return exporter, file.Close, errors.Wrap(err, "write the file")
}

func newResource(options Options) *resource.Resource {
	return resource.NewSchemaless(
		keyServiceName.String(serviceNamePrefix+options.Role),
		keyServiceInstance.String(options.Instance),
		keyFailureDomain.String(options.FailureDomain),
	)
}
