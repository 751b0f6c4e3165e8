package backendserver

import (
	"flag"
	"io"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/peterbourgon/ff/v3"
	"github.com/pkg/errors"

	"samphireflow/internal/tracing"
)

// EnvPrefix is the prefix of the environment variables that set the flags.
const EnvPrefix = "SAMPHIREFLOW_BACKEND"

// Config holds the settings of a backend server.
type Config struct {
	Instance      string `flag:"instance" validate:"required"`
	FailureDomain string `flag:"failure-domain" validate:"required"`
	Service       string `flag:"service" validate:"required"`
	Version       string `flag:"version" validate:"required"`
	// Addr is the IP:port on which it serves calls.
	Addr string `flag:"addr" validate:"required,ip_port"`
	// AdminAddr is the IP:port of the admin endpoints: health, load, executions and faults.
	AdminAddr string `flag:"admin-addr" validate:"required,ip_port"`
	// NodeControlAddr is the control address of the node beside it; empty disables announcements.
	NodeControlAddr string `flag:"node-control-addr" validate:"omitempty,ip_port"`
	// Slots is the maximum number of calls that run at the same time.
	Slots int `flag:"slots" validate:"min=1,max=10000"`
	// QueueLength is the maximum number of calls that wait for a slot.
	QueueLength int `flag:"queue" validate:"min=0,max=10000"`
	// Connections is the maximum number of open connections.
	Connections int `flag:"connections" validate:"min=1,max=100000"`
	// ConnectionCost is the delay before the first read from a new connection. It simulates connection setup.
	ConnectionCost time.Duration `flag:"connection-cost" validate:"min=0"`
	// ProbeCost is the time that the answer to a health probe takes.
	ProbeCost time.Duration `flag:"probe-cost" validate:"min=0"`
	// Work is the mean time that a call occupies its slot.
	Work time.Duration `flag:"work" validate:"min=0"`
	// ColdStart is the time after the start of the process during which calls are slower.
	ColdStart time.Duration `flag:"cold-start" validate:"min=0"`
	// Executions is the file to which executions are written; empty keeps them in memory only.
	Executions string `flag:"executions"`
	// CrashMarker is a text that crashes the process when the path or the body of a call contains it; empty for none.
	CrashMarker string `flag:"crash-marker"`
	// DrainLinger is the time for which a stopping server still accepts calls after it has announced that it drains.
	DrainLinger time.Duration `flag:"drain-linger" validate:"min=0"`
	// DrainTimeout bounds the wait for calls in flight after DrainLinger.
	DrainTimeout time.Duration `flag:"drain-timeout" validate:"min=0"`
	// TraceExporter is none, file or otlp.
	TraceExporter string `flag:"trace-exporter" validate:"oneof=none file otlp"`
	// TraceTarget is the trace file or the URL of the OTLP collector.
	TraceTarget string `flag:"trace-target" validate:"required_unless=TraceExporter none"`
	// TraceSample is the share of new traces that are sampled.
	TraceSample float64 `flag:"trace-sample" validate:"min=0,max=1"`
	// Seed seeds the random generator of work times and fault rates; 0 takes the seed from the clock.
	Seed uint64 `flag:"seed"`
}

// ParseConfig reads flags and environment variables and validates them.
func ParseConfig(args []string, usage io.Writer) (Config, error) {
	var cfg Config
	flags := cfg.flagSet(usage)
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix(EnvPrefix)); err != nil {
		return Config{}, errors.WithMessage(err, "settings")
	}
	return cfg, cfg.Validate()
}

func (c *Config) flagSet(usage io.Writer) *flag.FlagSet {
	flags := flag.NewFlagSet("backendserver", flag.ContinueOnError)
	flags.SetOutput(usage)
	flags.StringVar(&c.Instance, "instance", "", "name of the instance")
	flags.StringVar(&c.FailureDomain, "failure-domain", "", "failure domain of the instance")
	flags.StringVar(&c.Service, "service", "", "service that it serves")
	flags.StringVar(&c.Version, "version", "", "version of the backend server")
	flags.StringVar(&c.Addr, "addr", "", "IP:port for calls")
	flags.StringVar(&c.AdminAddr, "admin-addr", "", "IP:port for health, load, executions and faults")
	flags.StringVar(&c.NodeControlAddr, "node-control-addr", "", "IP:port of the control address of the node beside it")
	flags.IntVar(&c.Slots, "slots", 10, "calls that run at the same time")
	flags.IntVar(&c.QueueLength, "queue", 10, "calls that wait for a slot")
	flags.IntVar(&c.Connections, "connections", 130, "connections that may be open")
	flags.DurationVar(&c.ConnectionCost, "connection-cost", time.Millisecond, "time that a new connection takes")
	flags.DurationVar(&c.ProbeCost, "probe-cost", 0, "time that a health probe takes")
	flags.DurationVar(&c.Work, "work", 2*time.Millisecond, "mean time that a call takes")
	flags.DurationVar(&c.ColdStart, "cold-start", 0, "time after the start for which calls are slower")
	flags.StringVar(&c.Executions, "executions", "", "file that keeps the executions")
	flags.StringVar(&c.CrashMarker, "crash-marker", "", "text in a path or body that ends the process")
	flags.DurationVar(&c.DrainLinger, "drain-linger", 2*time.Second, "time for which a stopping server still accepts calls")
	flags.DurationVar(&c.DrainTimeout, "drain-timeout", 30*time.Second, "time in which calls in flight are finished")
	flags.StringVar(&c.TraceExporter, "trace-exporter", "none", "none, file or otlp")
	flags.StringVar(&c.TraceTarget, "trace-target", "", "file, or URL of an OTLP/HTTP collector")
	flags.Float64Var(&c.TraceSample, "trace-sample", 0, "share of new traces that are kept, 0 to 1")
	flags.Uint64Var(&c.Seed, "seed", 0, "start of the random source; 0 takes the clock")
	return flags
}

// Validate checks every setting and returns one error that names all invalid ones.
func (c *Config) Validate() error {
	err := newValidator().Struct(c)
	var fieldErrors validator.ValidationErrors
	if !errors.As(err, &fieldErrors) {
		return errors.WithStack(err)
	}
	lines := make([]string, 0, len(fieldErrors))
	for _, fieldError := range fieldErrors {
		lines = append(lines, describeFieldError(fieldError))
	}
	return errors.Errorf("settings: %s", strings.Join(lines, "; "))
}

func describeFieldError(fieldError validator.FieldError) string {
	rule := fieldError.Tag()
	if fieldError.Param() != "" {
		rule += " " + fieldError.Param()
	}
	return "--" + fieldError.Field() + ": " + quote(fieldError.Value()) + " breaks the rule: " + rule
}

// TraceOptions returns the options of the trace exporter. Export errors are passed to onError.
func (c *Config) TraceOptions(onError func(error)) tracing.Options {
	return tracing.Options{
		Exporter:      tracing.Exporter(c.TraceExporter),
		Target:        c.TraceTarget,
		SampleRatio:   c.TraceSample,
		Role:          role,
		Instance:      c.Instance,
		FailureDomain: c.FailureDomain,
		OnError:       onError,
	}
}
