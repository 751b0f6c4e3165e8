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

// Keys of the attributes that name a process (OpenTelemetry semantic conventions, and our own).
const (
	keyServiceName     = attribute.Key("service.name")
	keyServiceInstance = attribute.Key("service.instance.id")
	keyFailureDomain   = attribute.Key("samphireflow.failure_domain")
)

// serviceName opens the service name of all processes of the system; the role follows.
const serviceName = "samphireflow-"

// enabled reports whether spans are recorded.
var enabled atomic.Bool

// flushTimeout bounds the time in which the last spans are sent.
const flushTimeout = 3 * time.Second

// Shutdown sends the spans that are left and closes the exporter.
type Shutdown func() error

// Setup starts recording spans. It comes before the first use of Handler and Transport.
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
		sdktrace.WithResource(describe(options)),
	)
	otel.SetTracerProvider(provider)
	otel.SetErrorHandler(otel.ErrorHandlerFunc(options.report))
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

// newExporter opens the target of the spans. The function closes it once the exporter is shut down.
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

func describe(options Options) *resource.Resource {
	return resource.NewSchemaless(
		keyServiceName.String(serviceName+options.Role),
		keyServiceInstance.String(options.Instance),
		keyFailureDomain.String(options.FailureDomain),
	)
}
