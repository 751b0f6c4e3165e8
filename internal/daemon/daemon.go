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
	"samphireflow/internal/copies"
	"samphireflow/internal/departures"
	"samphireflow/internal/netfault"
	"samphireflow/internal/node"
	"samphireflow/internal/replica"
	"samphireflow/internal/resources"
	"samphireflow/internal/rpcbytes"
	"samphireflow/internal/settings"
	"samphireflow/internal/state"
	"samphireflow/internal/tracing"
	"samphireflow/internal/wal"
)

// clusterID identifies the control group, so that instances of different groups do not exchange messages by mistake.
const clusterID = "samphireflow"

// Timing of the control group. A tick is much shorter than the election timeout of 400 to 800 ms, so that two instances
// that start together seldom draw the same timeout: with an even number of voters, or with one voter down, a split vote
// costs another election timeout.
const (
	controlTick           = 20 * time.Millisecond
	controlElectionTicks  = 20
	controlHeartbeatTicks = 5
	// controlStepTimeout bounds the delivery of one message to another instance. Later messages wait behind one to an
	// instance that does not respond, so it is below the election timeout.
	controlStepTimeout = 300 * time.Millisecond
)

// Daemon is one process with its roles.
type Daemon struct {
	settings *settings.Settings
	logger   zerolog.Logger
	registry *prometheus.Registry

	// rpcBytes counts the bytes at the control address.
	rpcBytes *rpcbytes.Counter
	// connections keeps account of what all listeners hold.
	connections *resources.Keeper
	// faults is nil without fault injection.
	faults       *netfault.Faults
	platform     PlatformOptions
	replica      *replica.Replica
	machine      *state.Machine
	control      *control.Server
	node         *node.Node
	proxyTraffic *proxyTraffic
	gatedTraffic *gatedTraffic
	draining     atomic.Bool
}

// New creates the roles of the process. For a control instance it opens the data folder.
func New(s *settings.Settings, platform PlatformOptions, logger zerolog.Logger) (*Daemon, error) {
	d := &Daemon{settings: s, platform: platform, logger: logger, registry: prometheus.NewRegistry(), rpcBytes: rpcbytes.New()}
	d.connections = d.newKeeper()
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
			Tolerance:     d.tolerance(),
			Direct:        s.UsesControlSeeds(),
			Timing:        node.Timing{WatchWait: s.WatchWait, StaleAge: s.StaleAge, FloorTimeout: s.FloorTimeout},
			Logger:        logger.With().Str("role", "node").Logger(),
		})
	}
	switch {
	case d.node != nil && s.GateAddr != "":
		d.gatedTraffic = newGatedTraffic(s, platform.Headers, d.node, d.registry, logger)
	case d.node != nil:
		d.proxyTraffic = newProxyTraffic(s, d.node, logger)
	}
	d.registerMetrics()
	return d, nil
}

func (d *Daemon) openControl() error {
	logger := d.logger.With().Str("role", "control").Logger()
	machine := state.NewMachine()
	log, err := replica.Open(replica.Options{
		ID:              d.controlID(),
		ClusterID:       clusterID,
		Dir:             d.settings.DataDir,
		InitialMembers:  d.initialMembers(),
		TickInterval:    controlTick,
		ElectionTicks:   controlElectionTicks,
		HeartbeatTicks:  controlHeartbeatTicks,
		SnapshotEvery:   d.snapshotEvery(),
		Seeds:           d.settings.ControlSeeds,
		OpenGroup:       d.settings.UsesControlSeeds(),
		ToleratedLosses: d.settings.ToleratedInstances,
		OwnAddr:         d.settings.ControlAddr,
		FailureDomain:   d.settings.FailureDomain,
		StateMachine:    machine,
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
	d.replica = log
	d.machine = machine
	departed, err := departures.Open(wal.OS{}, d.settings.DataDir)
	if err != nil {
		logger.Error().Err(err).Msg("the file of departed backend servers is damaged; this instance starts without it")
	}
	d.control = control.New(control.Options{
		Instance:       d.controlID(),
		FailureDomain:  d.settings.FailureDomain,
		Region:         d.settings.Region,
		Tolerance:      d.tolerance(),
		Direct:         d.settings.UsesControlSeeds(),
		Log:            log,
		Machine:        machine,
		Departures:     departed,
		FailureDomains: d.settings.FailureDomains,
		Logger:         logger,
	})
	return nil
}

// tolerance returns what may be lost at the same time.
func (d *Daemon) tolerance() copies.Tolerance {
	return copies.Tolerance{
		Instances: d.settings.ToleratedInstances, FailureDomains: d.settings.ToleratedFailureDomains, Regions: d.settings.ToleratedRegions,
	}
}

// controlID returns the ID of this instance in the control group. It is the control address where control instances are
// found from seeds, because then only the addresses of the others are known.
func (d *Daemon) controlID() string {
	if d.settings.UsesControlSeeds() {
		return d.settings.ControlAddr
	}
	return d.settings.Instance
}

// publishedSnapshotEvery is the number of log entries between two snapshots where whole documents are published. A
// starting instance replays the entries since the last snapshot: at 5 ms of CPU time for a document of 500 routes
// (BenchmarkPublish) and a quarter of a core, 8 entries take 0.16 s.
const publishedSnapshotEvery = 8

func (d *Daemon) snapshotEvery() uint64 {
	if d.settings.UsesControlSeeds() {
		return publishedSnapshotEvery
	}
	return replica.DefaultSnapshotEvery
}

// initialMembers returns the instances that form a new control group together. Where control instances are found from
// seeds, it returns none if a group already exists.
func (d *Daemon) initialMembers() []replica.Member {
	if !d.settings.UsesControlSeeds() {
		return peerMembers(d.settings.ControlPeers)
	}
	var list []replica.Member
	if d.settings.Bootstrap {
		for _, addr := range d.settings.ControlSeeds {
			list = append(list, replica.Member{ID: addr, ControlAddr: addr})
		}
	}
	return list
}

func peerMembers(peers []settings.Peer) []replica.Member {
	list := make([]replica.Member, 0, len(peers))
	for _, peer := range peers {
		list = append(list, replica.Member{ID: peer.Name, ControlAddr: peer.Addr})
	}
	return list
}

// Run serves until ctx ends, then shuts down gracefully. It waits for the calls of callers before it stops the other
// parts of the process, because calls in flight depend on them.
func (d *Daemon) Run(ctx context.Context) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, running := errgroup.WithContext(running)
	group.Go(func() error { return d.serve(running, resources.Admin, d.settings.AdminAddr, d.adminHandler()) })
	group.Go(func() error {
		handler := d.rpcBytes.Handler(tracing.TracedOnly("control", d.controlHandler()))
		return d.serveInstances(running, resources.Control, d.settings.ControlAddr, handler, d.rpcBytes.Listener)
	})
	group.Go(func() error { return d.connections.Run(running) })
	if d.control != nil {
		group.Go(func() error { return d.control.Run(running) })
		group.Go(func() error { return d.watchStorage(running) })
		group.Go(func() error { return d.logTraffic(running) })
	}
	if d.node != nil {
		group.Go(func() error { return d.node.Run(running) })
	}
	if d.proxyTraffic != nil {
		group.Go(func() error { return d.proxyTraffic.run(running) })
	}
	d.servePlatform(group, running)
	group.Go(func() error {
		defer stop()
		if d.gatedTraffic != nil {
			return d.serveGatedTraffic(ctx, running)
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

// watchStorage stops the process when the storage of the replica has failed, because the persisted state is then unknown.
func (d *Daemon) watchStorage(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-d.replica.Done():
		return replica.ErrStopped
	}
}

// controlHandler returns the handler of the control address: the twirp services of all roles of the process.
func (d *Daemon) controlHandler() http.Handler {
	mux := http.NewServeMux()
	if d.control != nil {
		d.control.Register(mux)
		replication := apiv1.NewReplicationServer(d.replica.ReplicationServer())
		mux.Handle(replication.PathPrefix(), replication)
		members := apiv1.NewControlMembersServer(d.replica.MembersServer())
		mux.Handle(members.PathPrefix(), members)
	}
	if d.node != nil {
		inspect := apiv1.NewInspectServer(d.node)
		mux.Handle(inspect.PathPrefix(), inspect)
	}
	switch {
	case d.proxyTraffic != nil:
		d.proxyTraffic.register(mux)
	case d.gatedTraffic != nil:
		d.gatedTraffic.register(mux)
	}
	if d.control != nil && d.platform.OperatorHandler != nil {
		mux.Handle("/", d.platform.OperatorHandler(d.control, d.control.Moves(), d.control.Evacuations(), d.logger))
	}
	if d.node != nil && d.control == nil {
		d.node.Register(mux)
	}
	return mux
}

// LearnControlAddrs adds the control addresses of reloaded settings to those that the node uses.
func (d *Daemon) LearnControlAddrs(addrs []string) {
	if d.node != nil {
		d.node.LearnControlAddrs(addrs)
	}
}

// Ready reports whether all roles of the process can serve. It is false while the process drains.
func (d *Daemon) Ready() bool {
	if d.draining.Load() {
		return false
	}
	if d.control != nil && !d.control.Ready() {
		return false
	}
	return d.node == nil || d.node.Ready() && (d.proxyTraffic == nil || d.proxyTraffic.ready())
}
