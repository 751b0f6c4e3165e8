package tracing

// Exporter selects where spans are exported to.
type Exporter string

// Supported exporters.
const (
	// ExporterNone records no spans.
	ExporterNone Exporter = "none"
	// ExporterFile appends spans to a file as JSON lines.
	ExporterFile Exporter = "file"
	// ExporterOTLP sends spans to a collector over OTLP/HTTP.
	ExporterOTLP Exporter = "otlp"
)

// Options configures the tracing of a process.
type Options struct {
	Exporter Exporter
	// Target is the file of ExporterFile, or the URL of the collector of ExporterOTLP.
	Target string
	// SampleRatio is the share of new traces that are recorded, 0 to 1. For a trace that a caller started, the caller's
	// sampling decision applies.
	SampleRatio float64
	// Role, Instance and FailureDomain identify the process.
	Role          string
	Instance      string
	FailureDomain string
	// OnError receives the errors of the exporter; nil ignores them.
	OnError func(error)
}

func (o Options) handleError(err error) {
	if o.OnError != nil {
		o.OnError(err)
	}
}
