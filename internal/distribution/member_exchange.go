package distribution

import (
	"context"
	"net/http"
	"sync"

	"github.com/rs/zerolog"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/member"
)

// MemberExchange keeps the member tables of the control instances consistent: each instance exchanges its changes with
// all others.
type MemberExchange struct {
	instance string
	hub      *member.Hub
	client   *http.Client
	logger   zerolog.Logger
	// peers returns the control addresses of the other control instances.
	peers func() []string

	mu      sync.Mutex
	targets map[string]*syncTarget
	synced  bool
}

// NewMemberExchange returns an exchange between a hub and the processes that peers returns at the start of each round.
func NewMemberExchange(instance string, hub *member.Hub, client *http.Client, peers func() []string, logger zerolog.Logger) *MemberExchange {
	return &MemberExchange{instance: instance, hub: hub, client: client, peers: peers, logger: logger, targets: map[string]*syncTarget{}}
}

// Run exchanges members until the context is done.
func (e *MemberExchange) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := e.hub.Changed()
		var running sync.WaitGroup
		for _, target := range e.currentTargets() {
			running.Go(func() { e.exchange(ctx, target) })
		}
		running.Wait()
		waitForChange(ctx, nil, changed, memberSyncInterval)
	}
	return nil
}

// Synced reports whether the table of another control instance has been received since the start.
func (e *MemberExchange) Synced() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.synced
}

// currentTargets returns the targets of this round. A target that is still a peer keeps its sync position.
func (e *MemberExchange) currentTargets() []*syncTarget {
	e.mu.Lock()
	defer e.mu.Unlock()
	previous := e.targets
	e.targets = map[string]*syncTarget{}
	var list []*syncTarget
	for _, addr := range e.peers() {
		target := previous[addr]
		if target == nil {
			target = &syncTarget{client: Dial(addr, e.client)}
		}
		e.targets[addr] = target
		list = append(list, target)
	}
	return list
}

func (e *MemberExchange) exchange(ctx context.Context, target *syncTarget) {
	request := &apiv1.SyncRequest{Instance: e.instance, WantMembers: true, WantNodes: true}
	response, err := target.exchange(ctx, request, e.hub)
	if err != nil {
		e.logger.Debug().Err(err).Str("control", target.client.Addr).Msg("exchange of members failed")
		return
	}
	if response.MembersSource == "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.synced = true
}
