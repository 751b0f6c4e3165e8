package settings

import (
	"flag"
	"io"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/pkg/errors"
)

// EnvPrefix starts the name of each environment variable: --control-addr is SAMPHIREFLOW_CONTROL_ADDR.
const EnvPrefix = "SAMPHIREFLOW"

// Role is the part of the system that a process runs.
type Role string

// The roles of a process.
const (
	RoleControl Role = "control"
	RoleNode    Role = "node"
	RoleBoth    Role = "both"
)

// Settings holds the settings of one process. Fields with a validate tag are reported under the name in their flag tag.
type Settings struct {
	Role          Role   `validate:"required,oneof=control node both" flag:"role"`
	Instance      string `validate:"required,name" flag:"instance"`
	FailureDomain string `validate:"required,name" flag:"failure-domain"`
	Region        string `validate:"required,name" flag:"region"`
	ControlAddr   string `validate:"required,ipport" flag:"control-addr"`
	CallerAddr    string `validate:"required_unless=Role control,omitempty,ipport" flag:"caller-addr"`
	AdminAddr     string `validate:"required,ipport" flag:"admin-addr"`
	DataDir       string `validate:"required_unless=Role node" flag:"data-dir"`
	ControlPeers  []Peer `validate:"required_without=ControlSeeds,dive" flag:"control-peers"`
	// ControlSeeds lists the control addresses of some control instances, for deployments in which the number of control
	// instances is not configured. If Bootstrap is true, these instances form the first control group. Otherwise the
	// process uses them to find an existing group.
	ControlSeeds []string `validate:"dive,ipport" flag:"control-seeds"`
	// Bootstrap is true if the whole deployment starts for the first time.
	Bootstrap bool
	// GateAddr is the address of the gate, which runs beside the backend server. If it is set, all calls go from gate to
	// gate.
	GateAddr string `validate:"omitempty,ipport" flag:"gate-addr"`
	// Service is the service of the backend server that runs beside this node.
	Service string `flag:"service"`
	// WatchWait is the longest time that a node waits for updates from a control instance. StaleAge is the age of the
	// last update above which the node looks for another control instance. Zero selects the defaults.
	WatchWait time.Duration `validate:"gte=0" flag:"watch-wait"`
	StaleAge  time.Duration `validate:"gte=0" flag:"stale-age"`
	// FloorTimeout limits how long a node waits after its start to learn the newest configuration version that it may
	// have applied before. Zero means no limit.
	FloorTimeout time.Duration `validate:"gte=0" flag:"floor-patience"`
	// ShutdownTimeout is the time within which a stopping node with a gate must end. Zero selects the default. Other
	// processes do not use it.
	ShutdownTimeout time.Duration `validate:"gte=0" flag:"stop-time"`
	// RetryRatio is the ratio of retries to the calls of a service that all nodes together keep below, and RetrySlack the
	// number of further retries that they may send at once. Zero selects the defaults.
	RetryRatio float64 `validate:"gte=0,lte=1" flag:"retry-ratio"`
	RetrySlack float64 `validate:"gte=0" flag:"retry-slack"`
	// QuotaWindow is the time over which the calls of a customer are compared with its quota, QuotaOverrun the share of it and
	// QuotaSlack the number of calls by which all nodes together may exceed it. A window of 0 selects the default.
	QuotaWindow  time.Duration `validate:"gte=0" flag:"quota-window"`
	QuotaOverrun float64       `validate:"gte=0,lte=1" flag:"quota-overrun"`
	QuotaSlack   float64       `validate:"gte=0" flag:"quota-slack"`
	// ColdOverrun is the factor and ColdSlack the number of calls per second by which a cold backend server may get more than
	// its configured pace. Zero allows no more.
	ColdOverrun float64 `validate:"gte=0" flag:"cold-overrun"`
	ColdSlack   float64 `validate:"gte=0" flag:"cold-slack"`
	// LinkMbps is the capacity of the network link of this instance in Mbit/s. Zero means that it is not known.
	LinkMbps float64 `validate:"gte=0" flag:"link-mbps"`
	// MemoryLimitMB is the memory in MB above which the process is killed from outside. Zero means that there is no limit.
	MemoryLimitMB int `validate:"gte=0" flag:"memory-limit"`
	// FailureDomains lists the failure domains of the deployment. Others may exist too.
	FailureDomains []string `validate:"dive,name" flag:"failure-domains"`
	// MaxDescriptors is the number of descriptors that the process may have open. Zero selects the limit of the system.
	MaxDescriptors int `validate:"gte=0" flag:"max-descriptors"`
	// ToleratedInstances, ToleratedFailureDomains and ToleratedRegions say what may be lost at the same time without the loss of what
	// a node has acknowledged: so many control instances, or all of so many failure domains, or all of so many regions.
	ToleratedInstances      int `validate:"gte=0" flag:"tolerated-instances"`
	ToleratedFailureDomains int `validate:"gte=0" flag:"tolerated-failure-domains"`
	ToleratedRegions        int `validate:"gte=0" flag:"tolerated-regions"`
	// Seeds lists the control addresses of some nodes in the same failure domain.
	Seeds []string `validate:"dive,ipport" flag:"seeds"`
	// Services lists the services that the callers of this node call. An empty list means all services.
	Services      []string `validate:"dive,name" flag:"services"`
	LogLevel      string   `validate:"oneof=debug info warn error" flag:"log-level"`
	TraceExporter string   `validate:"oneof=none file otlp" flag:"trace-exporter"`
	// TraceTarget is the file of the file exporter, or the URL of the OTLP/HTTP collector.
	TraceTarget string `validate:"required_unless=TraceExporter none" flag:"trace-target"`
	// TraceSample is the share of traces that are sampled, from 0 to 1.
	TraceSample float64 `validate:"gte=0,lte=1" flag:"trace-sample"`
	// FaultInjection lets tests partition this process from other addresses, by requests to its admin address.
	FaultInjection bool
	// PartitionedAddrs lists the addresses from which the process is partitioned at its start, for tests.
	PartitionedAddrs []string `validate:"dive,ipport" flag:"fault-injection-cuts"`
	// Check is true if the process is to validate its settings and exit.
	Check bool
}

// The smallest control group that outlasts a loss has three instances, and outlasts that of one.
const (
	DefaultToleratedInstances      = 1
	DefaultToleratedFailureDomains = 1
)

// ErrUsage is wrapped by errors about malformed command lines.
var ErrUsage = errors.New("usage")

// Parse parses flags and environment variables. Flags take precedence. Parse returns flag.ErrHelp if help was requested.
// Other errors wrap ErrUsage or ErrInvalid. An error that wraps ErrInvalid lists all faults.
func Parse(args []string, usage io.Writer) (*Settings, error) {
	s := &Settings{}
	flags := flag.NewFlagSet("samphireflowd", flag.ContinueOnError)
	flags.SetOutput(usage)
	lists := s.defineFlags(flags)
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix(EnvPrefix)); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return nil, err
		}
		return nil, errors.Wrap(ErrUsage, err.Error())
	}
	if flags.NArg() > 0 {
		return nil, errors.Wrapf(ErrUsage, "unexpected argument %q", flags.Arg(0))
	}
	var faults []string
	s.ControlPeers, faults = parsePeers(*lists.peers)
	s.Seeds = parseList(*lists.seeds)
	s.ControlSeeds = parseList(*lists.controlSeeds)
	s.Services = parseList(*lists.services)
	s.FailureDomains = parseList(*lists.failureDomains)
	s.PartitionedAddrs = parseList(*lists.partitionedAddrs)
	return s, s.validate(faults)
}

// listFlags holds the unparsed values of the flags that take lists.
type listFlags struct {
	peers *string
	// seeds are addresses of nodes, controlSeeds addresses of control instances.
	seeds            *string
	controlSeeds     *string
	services         *string
	failureDomains   *string
	partitionedAddrs *string
}

func (s *Settings) defineFlags(flags *flag.FlagSet) listFlags {
	hostname, _ := os.Hostname()
	flags.StringVar((*string)(&s.Role), "role", "", "control, node or both")
	flags.StringVar(&s.Instance, "instance", strings.ToLower(hostname), "name of this instance")
	flags.StringVar(&s.FailureDomain, "failure-domain", "", "failure domain of this instance")
	flags.StringVar(&s.Region, "region", "", "region of this instance")
	flags.StringVar(&s.ControlAddr, "control-addr", "", "IP:port for the other processes of the system and for operators")
	flags.StringVar(&s.CallerAddr, "caller-addr", "", "IP:port for callers (node)")
	flags.StringVar(&s.AdminAddr, "admin-addr", "", "IP:port for metrics, liveness, readiness and the log level")
	flags.StringVar(&s.DataDir, "data-dir", "", "data folder (control)")
	flags.StringVar(&s.LogLevel, "log-level", "info", "debug, info, warn or error")
	flags.StringVar(&s.TraceExporter, "trace-exporter", "none", "none, file or otlp")
	flags.StringVar(&s.TraceTarget, "trace-target", "", "file, or URL of an OTLP/HTTP collector")
	flags.Float64Var(&s.TraceSample, "trace-sample", 0, "share of traces that are kept, 0 to 1")
	flags.BoolVar(&s.FaultInjection, "fault-injection", false, "let tests cut this process off from addresses")
	flags.BoolVar(&s.Bootstrap, "found", false, "form a new control group from the control seeds (control)")
	flags.StringVar(&s.GateAddr, "gate-addr", "", "IP:port of the gate; with it all calls go from gate to gate (node)")
	flags.StringVar(&s.Service, "service", "", "service of the backend server beside this node (node)")
	flags.DurationVar(&s.WatchWait, "watch-wait", 0, "longest wait for news from a control instance; 0 for the default (node)")
	flags.DurationVar(&s.StaleAge, "stale-age", 0, "age of news above which a node looks for another control instance; 0 for the default (node)")
	flags.DurationVar(&s.FloorTimeout, "floor-patience", 0, "longest wait of a started node for the newest version that it may have applied; 0 for no bound (node)")
	flags.DurationVar(&s.ShutdownTimeout, "stop-time", 0, "time in which a stopping process must have ended; 0 for the default")
	flags.DurationVar(&s.QuotaWindow, "quota-window", 0, "time over which the calls of a customer are compared with its quota; 0 for the default (node)")
	flags.Float64Var(&s.QuotaOverrun, "quota-overrun", 0, "share by which all nodes together may exceed the quota of a customer, 0 to 1 (node)")
	flags.Float64Var(&s.QuotaSlack, "quota-slack", 0, "calls by which all nodes together may exceed the quota of a customer in a window (node)")
	flags.Float64Var(&s.ColdOverrun, "cold-overrun", 0, "factor by which a cold backend server may get more than its pace; 0 for none (node)")
	flags.Float64Var(&s.ColdSlack, "cold-slack", 0, "calls a second that a cold backend server may get beyond its pace (node)")
	flags.Float64Var(&s.LinkMbps, "link-mbps", 0, "capacity of the link of this instance in Mbit/s; 0 if it is not known (node)")
	flags.Float64Var(&s.RetryRatio, "retry-ratio", 0, "ratio of retries to the calls of a service, over all nodes with a gate, 0 to 1; 0 for the default (node)")
	flags.Float64Var(&s.RetrySlack, "retry-slack", 0, "retries to a service that all nodes with a gate may send beyond that ratio; 0 for no limit on their sum (node)")
	flags.IntVar(&s.MemoryLimitMB, "memory-limit", 0, "memory in MB above which the process is killed from outside; 0 for none")
	flags.IntVar(&s.MaxDescriptors, "max-descriptors", 0, "descriptors that the process may have open; 0 for the limit of the system")
	flags.IntVar(&s.ToleratedInstances, "tolerated-instances", DefaultToleratedInstances, "control instances that may be lost at the same time without the loss of what is acknowledged")
	flags.IntVar(&s.ToleratedFailureDomains, "tolerated-failure-domains", DefaultToleratedFailureDomains, "failure domains that may be lost at the same time without that")
	flags.IntVar(&s.ToleratedRegions, "tolerated-regions", 0, "regions that may be lost at the same time without that")
	flags.BoolVar(&s.Check, "check", false, "check the settings and exit")
	return listFlags{
		peers:            flags.String("control-peers", "", "control instances as name=IP:port, separated by commas"),
		seeds:            flags.String("seeds", "", "control addresses, IP:port, of some nodes of the own failure domain, separated by commas (node)"),
		controlSeeds:     flags.String("control-seeds", "", "control addresses, IP:port, of some control instances, separated by commas"),
		services:         flags.String("services", "", "services that the callers of this node call, separated by commas; empty for all (node)"),
		failureDomains:   flags.String("failure-domains", "", "failure domains of the deployment, separated by commas; others are known once an instance was seen (control)"),
		partitionedAddrs: flags.String("fault-injection-cuts", "", "addresses, IP:port, that the process is cut off from at its start, separated by commas"),
	}
}

// Validate checks settings that were not parsed from flags. The error lists all faults and wraps ErrInvalid.
func (s *Settings) Validate() error {
	return s.validate(nil)
}

// UsesControlSeeds reports whether the process finds the control instances by ControlSeeds. In this case nodes get
// updates directly from control instances.
func (s *Settings) UsesControlSeeds() bool {
	return len(s.ControlSeeds) > 0
}

// IsControl reports whether the process has the control role.
func (s *Settings) IsControl() bool {
	return s.Role == RoleControl || s.Role == RoleBoth
}

// IsNode reports whether the process has the node role.
func (s *Settings) IsNode() bool {
	return s.Role == RoleNode || s.Role == RoleBoth
}

// ControlAddrs lists the addresses of the control instances.
func (s *Settings) ControlAddrs() []string {
	addrs := append(make([]string, 0, len(s.ControlPeers)+len(s.ControlSeeds)), s.ControlSeeds...)
	for _, peer := range s.ControlPeers {
		addrs = append(addrs, peer.Addr)
	}
	return addrs
}
