package daemon

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/control"
	"samphireflow/internal/netfault"
	"samphireflow/internal/node"
	"samphireflow/internal/replica"
	"samphireflow/internal/settings"
	"samphireflow/internal/state"
	"samphireflow/internal/tracing"
)

// clusterID names the control group, so that instances of two groups do not talk to each other by mistake.
const clusterID = "samphireflow"

// Times of the control group. Ticks are much shorter than the election timeout of 400 to 800 ms, so that two instances
// that start together seldom draw the same one: with an even number of voters, or one of them gone, a split vote costs
// another timeout.
const (
	controlTick           = 20 * time.Millisecond
	controlElectionTicks  = 20
	controlHeartbeatTicks = 5
	// controlStepTimeout bounds one message to another instance. Behind a message to one that does not answer, the next
	// ones wait, so it is below the election timeout.
	controlStepTimeout = 300 * time.Millisecond
)

// Daemon is one process with its roles.
type Daemon struct {
	settings *settings.Settings
	logger   zerolog.Logger
	registry *prometheus.Registry

	// faults is nil without fault injection.
	faults  *netfault.Faults
	surface PlatformOptions
	replica *replica.Replica
	machine *state.Machine
	control *control.Server
	node    *node.Node
	traffic *traffic
	gated   *gated
	leaving atomic.Bool
}

// New prepares the roles. It opens the data folder of a control instance.
func New(s *settings.Settings, surface PlatformOptions, logger zerolog.Logger) (*Daemon, error) {
	d := &Daemon{settings: s, surface: surface, logger: logger, registry: prometheus.NewRegistry()}
	if s.FaultInjection {
		d.faults = netfault.Enable()
		d.faults.Cut(s.PartitionedAddrs)
	}
	if s.IsControl() {
		if err := d.openControl(); err != nil {
			return nil, errors.WithMessage(err, "control")
		}
	}
	if s.IsNode() {
		d.node = node.New(node.Options{
			Instance:      s.Instance,
			FailureDomain: s.FailureDomain,
			CallerAddr:    s.CallerAddr,
			ControlAddr:   s.ControlAddr,
			AdminAddr:     s.AdminAddr,
			Control:       s.ControlAddrs(),
			Seeds:         s.Seeds,
			Services:      s.Services,
			Service:       s.Service,
			GateAddr:      s.GateAddr,
			Direct:        s.UsesControlSeeds(),
			Timing:        node.Timing{WatchWait: s.WatchWait, StaleAge: s.StaleAge, FloorTimeout: s.FloorTimeout},
			Logger:        logger.With().Str("role", "node").Logger(),
		})
	}
	switch {
	case d.node != nil && s.GateAddr != "":
		d.gated = newGated(s, surface.Headers, d.node, d.registry, logger)
	case d.node != nil:
		d.traffic = newTraffic(s, d.node, logger)
	}
	d.registerMetrics()
	return d, nil
}

func (d *Daemon) openControl() error {
	logger := d.logger.With().Str("role", "control").Logger()
	machine := state.NewMachine()
	opened, err := replica.Open(replica.Options{
		ID:             d.controlName(),
		ClusterID:      clusterID,
		Dir:            d.settings.DataDir,
		InitialMembers: d.founders(),
		TickInterval:   controlTick,
		ElectionTicks:  controlElectionTicks,
		HeartbeatTicks: controlHeartbeatTicks,
		SnapshotEvery:  d.snapshotEvery(),
		Seeds:          d.settings.ControlSeeds,
		OpenGroup:      d.settings.UsesControlSeeds(),
		OwnAddr:        d.settings.ControlAddr,
		StateMachine:   machine,
		Transport: replica.NewTwirpTransport(replica.TwirpOptions{
			ClusterID: clusterID,
			OwnAddr:   d.settings.ControlAddr,
			Timeout:   controlStepTimeout,
			Logger:    logger,
		}),
		Logger: logger,
	})
	if err != nil {
		return err
	}
	d.replica = opened
	d.machine = machine
	d.control = control.New(control.Options{
		Instance: d.controlName(),
		Direct:   d.settings.UsesControlSeeds(),
		Log:      opened,
		Machine:  machine,
		Logger:   logger,
	})
	return nil
}

// controlName names this instance in the control group. Where only addresses of the others are known, it is the address.
func (d *Daemon) controlName() string {
	if d.settings.UsesControlSeeds() {
		return d.settings.ControlAddr
	}
	return d.settings.Instance
}

// publishedSnapshotEvery is the number of log entries between two snapshots where whole documents are published. A start
// repeats the entries since the last snapshot: at 5 ms of processor time for a document of 500 routes (BenchmarkPublish)
// and a quarter of a core, 8 of them take 0.16 s.
const publishedSnapshotEvery = 8

func (d *Daemon) snapshotEvery() uint64 {
	if d.settings.UsesControlSeeds() {
		return publishedSnapshotEvery
	}
	return replica.DefaultSnapshotEvery
}

// founders lists the instances that form a new control group together, none when a group exists already.
func (d *Daemon) founders() []replica.Member {
	if !d.settings.UsesControlSeeds() {
		return members(d.settings.ControlPeers)
	}
	var list []replica.Member
	if d.settings.Bootstrap {
		for _, addr := range d.settings.ControlSeeds {
			list = append(list, replica.Member{ID: addr, ControlAddr: addr})
		}
	}
	return list
}

func members(peers []settings.Peer) []replica.Member {
	list := make([]replica.Member, 0, len(peers))
	for _, peer := range peers {
		list = append(list, replica.Member{ID: peer.Name, ControlAddr: peer.Addr})
	}
	return list
}

// Run serves until the context ends, then shuts down gracefully: first the calls of callers end, then the rest stops,
// because calls in flight need it.
func (d *Daemon) Run(ctx context.Context) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, running := errgroup.WithContext(running)
	group.Go(func() error { return serve(running, "admin", d.settings.AdminAddr, d.adminHandler()) })
	group.Go(func() error {
		return serve(running, "control", d.settings.ControlAddr, tracing.TracedOnly("control", d.controlHandler()))
	})
	if d.control != nil {
		group.Go(func() error { return d.control.Run(running) })
		group.Go(func() error { return d.watchStorage(running) })
	}
	if d.node != nil {
		group.Go(func() error { return d.node.Run(running) })
	}
	if d.traffic != nil {
		group.Go(func() error { return d.traffic.run(running) })
	}
	d.serveSurface(group, running)
	group.Go(func() error {
		defer stop()
		if d.gated != nil {
			return d.serveGated(ctx, running)
		}
		return d.serveCallers(ctx, running)
	})
	d.logger.Info().Str("addr", d.settings.ControlAddr).Msg("started")
	err := group.Wait()
	if d.replica != nil {
		if closed := d.replica.Close(); err == nil {
			err = closed
		}
	}
	d.logger.Info().Err(err).Msg("stopped")
	return err
}

// watchStorage ends the process when its data folder has failed: what the disk holds is not known any more.
func (d *Daemon) watchStorage(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-d.replica.Done():
		return replica.ErrStopped
	}
}

// controlHandler serves the twirp services of all roles of the process.
func (d *Daemon) controlHandler() http.Handler {
	mux := http.NewServeMux()
	if d.control != nil {
		d.control.Register(mux)
		replication := apiv1.NewReplicationServer(d.replica.Server())
		mux.Handle(replication.PathPrefix(), replication)
		members := apiv1.NewControlMembersServer(d.replica.MembersServer())
		mux.Handle(members.PathPrefix(), members)
	}
	if d.node != nil {
		inspect := apiv1.NewInspectServer(d.node)
		mux.Handle(inspect.PathPrefix(), inspect)
	}
	switch {
	case d.traffic != nil:
		d.traffic.register(mux)
	case d.gated != nil:
		d.gated.register(mux)
	}
	if d.control != nil && d.surface.OperatorHandler != nil {
		mux.Handle("/", d.surface.OperatorHandler(d.control, d.control.Moves()))
	}
	if d.node != nil && d.control == nil {
		d.node.Register(mux)
	}
	return mux
}

// LearnControlAddrs adds control instances that changed settings name.
func (d *Daemon) LearnControlAddrs(addrs []string) {
	if d.node != nil {
		d.node.LearnControlAddrs(addrs)
	}
}

// Ready reports whether all roles can serve.
func (d *Daemon) Ready() bool {
	if d.leaving.Load() {
		return false
	}
	if d.control != nil && !d.control.Ready() {
		return false
	}
	return d.node == nil || d.node.Ready() && (d.traffic == nil || d.traffic.ready())
}
