// Package replica is a stand-in of one instance without a disk until the replicated log lands; this file is then
// deleted.
package replica

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	apiv1 "samphireflow/api/v1"
)

var ErrNotLeader = errors.New("not leader")
var ErrNoQuorum = errors.New("no quorum")
var ErrOutcomeUnknown = errors.New("unknown")
var ErrClosed = errors.New("closed")
var ErrStopped = errors.New("stopped")

type StateMachine interface {
	Apply(index, term uint64, data []byte) []byte
	Snapshot() ([]byte, error)
	Restore(image []byte) error
}
type Transport interface{}
type Member struct {
	ID, ControlAddr string
	Learner         bool
}
type Options struct {
	ID, ClusterID, Dir string
	Members            []Member
	StateMachine       StateMachine
	Transport          Transport
	Logger             zerolog.Logger
}
type Status struct {
	ID, Leader, LeaderAddr string
	Term, Commit, Applied  uint64
	IsLeader               bool
	Voters                 []string
	LastContact            time.Duration
}
type Replica struct {
	mu sync.Mutex
	o  Options
	i  uint64
}

func Open(o Options) (*Replica, error) { return &Replica{o: o}, nil }
func (r *Replica) Propose(ctx context.Context, data []byte) ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.i++
	return r.o.StateMachine.Apply(r.i, 1, data), nil
}
func (r *Replica) ReadIndex(ctx context.Context) error { return nil }
func (r *Replica) Status() Status {
	return Status{ID: r.o.ID, Leader: r.o.ID, LeaderAddr: "", IsLeader: true, Term: 1}
}
func (r *Replica) Server() apiv1.Replication { return nil }
func (r *Replica) Close() error              { return nil }
func LeaderOf(err error) (Member, bool)      { return Member{}, false }
