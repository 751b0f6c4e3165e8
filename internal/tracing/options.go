package tracing

// Exporter says where spans go.
type Exporter string

// The exporters.
const (
	// ExporterNone records no spans.
	ExporterNone Exporter = "none"
	// ExporterFile appends spans to a file as JSON lines.
	ExporterFile Exporter = "file"
	// ExporterOTLP sends spans to a collector over OTLP/HTTP.
	ExporterOTLP Exporter = "otlp"
)

// Options are the settings of the traces of a process.
type Options struct {
	Exporter Exporter
	// Target is the file of ExporterFile, or the URL of the collector of ExporterOTLP.
	Target string
	// SampleRatio is the share of new traces that are kept, 0 to 1. A trace that a caller started keeps the caller's choice.
	SampleRatio float64
	// Role, Instance and FailureDomain name the process.
	Role          string
	Instance      string
	FailureDomain string
	// OnError gets the errors of the exporter; nil drops them.
	OnError func(error)
}

func (o Options) report(err error) {
	if o.OnError != nil {
		o.OnError(err)
	}
}
