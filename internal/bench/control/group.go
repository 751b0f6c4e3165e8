package control

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/replica"
	"samphireflow/internal/rpcbytes"
	"samphireflow/internal/state"
)

const clusterID = "bench"

// leaderTimeout bounds the wait until an instance has a leader to read from.
const leaderTimeout = 20 * time.Second

// instance is one control instance with its HTTP server on loopback.
type instance struct {
	member  replica.Member
	dir     string
	replica *replica.Replica
	machine *state.Machine
	server  *http.Server
}

// group is a control group.
type group struct {
	instances     []*instance
	members       []replica.Member
	snapshotEvery uint64
	// traffic counts the bytes that all instances read and write on connections that they accept.
	traffic *atomic.Uint64
}

// startGroup starts a group with data folders beneath dir and waits for its leader.
func startGroup(ctx context.Context, dir string, size int, snapshotEvery uint64) (*group, error) {
	g := &group{snapshotEvery: snapshotEvery, traffic: &atomic.Uint64{}}
	var listeners []net.Listener
	for i := 0; i < size; i++ {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return g, errors.Wrap(err, "listen")
		}
		listeners = append(listeners, listener)
		g.members = append(g.members, replica.Member{ID: fmt.Sprint("c", i), ControlAddr: listener.Addr().String()})
	}
	for i, member := range g.members {
		started := &instance{member: member, dir: filepath.Join(dir, fmt.Sprintf("%d-%s", size, member.ID))}
		g.instances = append(g.instances, started)
		if err := g.start(started, listeners[i]); err != nil {
			return g, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	for _, started := range g.instances {
		if err := started.replica.ReadIndex(ctx); err != nil {
			return g, err
		}
	}
	return g, nil
}

func (g *group) start(i *instance, listener net.Listener) error {
	i.machine = state.NewMachine()
	opened, err := replica.Open(replica.Options{
		ID: i.member.ID, ClusterID: clusterID, Dir: i.dir, InitialMembers: g.members, StateMachine: i.machine,
		Transport: replica.NewTwirpTransport(replica.TwirpOptions{
			ClusterID: clusterID, OwnAddr: i.member.ControlAddr, Logger: zerolog.Nop(),
		}),
		Logger: zerolog.Nop(), SnapshotEvery: g.snapshotEvery,
	})
	if err != nil {
		return err
	}
	i.replica = opened
	i.server = &http.Server{Handler: apiv1.NewReplicationServer(opened.ReplicationServer())}
	go func() { _ = i.server.Serve(rpcbytes.CountConnections(listener, g.traffic, g.traffic)) }()
	return nil
}

// restart starts a stopped instance again at its old address.
func (g *group) restart(i *instance) error {
	listener, err := net.Listen("tcp", i.member.ControlAddr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	return g.start(i, listener)
}

// stop stops an instance without notifying the others.
func (i *instance) stop() error {
	if i.replica == nil {
		return nil
	}
	_ = i.server.Close()
	err := i.replica.Close()
	i.replica = nil
	return err
}

func (g *group) close() {
	for _, i := range g.instances {
		_ = i.stop()
	}
}

// leader returns the running instance that leads, or nil if none does.
func (g *group) leader() *instance {
	for _, i := range g.instances {
		if i.replica != nil && i.replica.Status().IsLeader {
			return i
		}
	}
	return nil
}

// Propose proposes a command to the current leader, and retries while there is none.
func (g *group) Propose(ctx context.Context, data []byte) ([]byte, error) {
	for ctx.Err() == nil {
		leader := g.leader()
		if leader == nil {
			time.Sleep(time.Millisecond)
			continue
		}
		result, err := leader.replica.Propose(ctx, data)
		if !errors.Is(err, replica.ErrNotLeader) {
			return result, err
		}
	}
	return nil, ctx.Err()
}
