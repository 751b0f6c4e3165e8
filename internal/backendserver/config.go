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

// EnvPrefix starts the name of the environment variable of each flag.
const EnvPrefix = "SAMPHIREFLOW_BACKEND"

// Config holds the settings of a backend server.
type Config struct {
	Instance      string `flag:"instance" validate:"required"`
	FailureDomain string `flag:"failure-domain" validate:"required"`
	Service       string `flag:"service" validate:"required"`
	Version       string `flag:"version" validate:"required"`
	// Addr is the IP:port for calls.
	Addr string `flag:"addr" validate:"required,ip_port"`
	// AdminAddr is the IP:port for health, load, executions and faults.
	AdminAddr string `flag:"admin-addr" validate:"required,ip_port"`
	// NodeControlAddr is the control address of the node beside it; empty for none.
	NodeControlAddr string `flag:"node-control-addr" validate:"omitempty,ip_port"`
	// Slots is the number of calls that run at the same time.
	Slots int `flag:"slots" validate:"min=1,max=10000"`
	// QueueLength is the number of calls that wait for a slot.
	QueueLength int `flag:"queue" validate:"min=0,max=10000"`
	// Connections is the number of connections that may be open.
	Connections int `flag:"connections" validate:"min=1,max=100000"`
	// ConnectionCost is the time that a new connection takes.
	ConnectionCost time.Duration `flag:"connection-cost" validate:"min=0"`
	// ProbeCost is the time that a health probe takes.
	ProbeCost time.Duration `flag:"probe-cost" validate:"min=0"`
	// Work is the mean time that a call takes in its slot.
	Work time.Duration `flag:"work" validate:"min=0"`
	// ColdStart is the time after the start for which calls are slower.
	ColdStart time.Duration `flag:"cold-start" validate:"min=0"`
	// Executions is the file that keeps the executions; empty keeps them in memory only.
	Executions string `flag:"executions"`
	// CrashMarker ends the process at once when a call's path or body holds it; empty for none.
	CrashMarker string `flag:"crash-marker"`
	// DrainLinger is the time for which a stopping server still accepts calls after it has announced that it leaves.
	DrainLinger time.Duration `flag:"drain-linger" validate:"min=0"`
	// DrainTimeout bounds the time in which calls in flight are finished.
	DrainTimeout time.Duration `flag:"drain-timeout" validate:"min=0"`
	// TraceExporter is none, file or otlp; TraceTarget is the file or the URL of the collector.
	TraceExporter string  `flag:"trace-exporter" validate:"oneof=none file otlp"`
	TraceTarget   string  `flag:"trace-target" validate:"required_unless=TraceExporter none"`
	TraceSample   float64 `flag:"trace-sample" validate:"min=0,max=1"`
	// Seed starts the random source of the work times; 0 takes it from the clock.
	Seed uint64 `flag:"seed"`
}

// ParseConfig reads flags and environment variables. An error names all faults at once.
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

// Validate checks every setting and returns an error that names all faults.
func (c *Config) Validate() error {
	err := newValidator().Struct(c)
	var faults validator.ValidationErrors
	if !errors.As(err, &faults) {
		return errors.WithStack(err)
	}
	lines := make([]string, 0, len(faults))
	for _, fault := range faults {
		lines = append(lines, describeFault(fault))
	}
	return errors.Errorf("settings: %s", strings.Join(lines, "; "))
}

func describeFault(fault validator.FieldError) string {
	rule := fault.Tag()
	if fault.Param() != "" {
		rule += " " + fault.Param()
	}
	return "--" + fault.Field() + ": " + quote(fault.Value()) + " breaks the rule: " + rule
}

// TraceOptions returns the settings of the traces, whose errors go to the function.
func (c *Config) TraceOptions(onError func(error)) tracing.Options {
	return tracing.Options{
		Exporter:      tracing.Exporter(c.TraceExporter),
		Target:        c.TraceTarget,
		Sample:        c.TraceSample,
		Role:          role,
		Instance:      c.Instance,
		FailureDomain: c.FailureDomain,
		OnError:       onError,
	}
}
