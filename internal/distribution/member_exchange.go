package distribution

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"

	"github.com/rs/zerolog"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/member"
)

// MemberExchange keeps the member tables of the control instances consistent. Each instance sends the leases that are
// renewed at it to all others, and fetches the leases of all homes from one of them, its source. So a change is sent to an
// instance twice, however many there are, and still reaches one that is partitioned from the change's home.
type MemberExchange struct {
	instance string
	hub      *member.Hub
	client   *http.Client
	logger   zerolog.Logger
	// peers returns the control addresses of the other control instances.
	peers func() []string

	mu      sync.Mutex
	targets map[string]*syncTarget
	// source is the address of the peer from which the leases of all homes are fetched; empty before one was chosen and
	// after an exchange with it failed.
	source string
	synced bool
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
	if e.targets[e.source] == nil {
		e.source = ""
		if len(list) > 0 {
			e.source = list[rand.IntN(len(list))].client.Addr
		}
	}
	return list
}

// fetchesFrom reports whether the leases of all homes are fetched from a peer: from the source, and from every peer until
// the first table has been received.
func (e *MemberExchange) fetchesFrom(addr string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.synced || addr == e.source
}

// dropSource makes the next round choose another source, if the given peer is the source.
func (e *MemberExchange) dropSource(addr string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.source == addr {
		e.source = ""
	}
}

func (e *MemberExchange) exchange(ctx context.Context, target *syncTarget) {
	fetch := e.fetchesFrom(target.client.Addr)
	request := &apiv1.SyncRequest{Instance: e.instance, WantMembers: fetch, WantNodes: fetch}
	response, err := target.exchange(ctx, request, e.hub)
	if err != nil {
		e.dropSource(target.client.Addr)
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
