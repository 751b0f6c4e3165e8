package distribution

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
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

	mu sync.Mutex
	// source is the address of the peer from which the leases of all homes are fetched; empty before one was chosen.
	source string
	// failing holds the peers with which the last exchange failed.
	failing map[string]bool
	// sourceChanged is closed and replaced when there is another source to fetch from at once.
	sourceChanged chan struct{}
	synced        bool
}

// NewMemberExchange returns an exchange between a hub and the processes that peers returns.
func NewMemberExchange(instance string, hub *member.Hub, client *http.Client, peers func() []string, logger zerolog.Logger) *MemberExchange {
	return &MemberExchange{
		instance: instance, hub: hub, client: client, peers: peers, logger: logger, failing: map[string]bool{}, sourceChanged: make(chan struct{}),
	}
}

// Run exchanges members until the context is done. Each peer has a loop of its own, so that one which does not answer holds back
// nothing from the others.
func (e *MemberExchange) Run(ctx context.Context) error {
	var loops sync.WaitGroup
	defer loops.Wait()
	cancels := map[string]context.CancelFunc{}
	for ctx.Err() == nil {
		peers := e.currentPeers()
		for addr, cancel := range cancels {
			if !slices.Contains(peers, addr) {
				cancel()
				delete(cancels, addr)
			}
		}
		for _, addr := range peers {
			if cancels[addr] != nil {
				continue
			}
			loopCtx, cancel := context.WithCancel(ctx)
			cancels[addr] = cancel
			loops.Go(func() { e.exchangeLoop(loopCtx, addr) })
		}
		sleepWithJitter(ctx, memberSyncInterval)
	}
	for _, cancel := range cancels {
		cancel()
	}
	return nil
}

// Synced reports whether the table of another control instance has been received since the start.
func (e *MemberExchange) Synced() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.synced
}

// currentPeers returns the peers, and chooses another source if the current one is no peer any more.
func (e *MemberExchange) currentPeers() []string {
	peers := e.peers()
	e.mu.Lock()
	defer e.mu.Unlock()
	for addr := range e.failing {
		if !slices.Contains(peers, addr) {
			delete(e.failing, addr)
		}
	}
	if !slices.Contains(peers, e.source) {
		e.chooseSource(peers)
	}
	return peers
}

// chooseSource chooses another source: one of the peers that answer, from which is fetched at once, or else any. The caller must hold mu.
func (e *MemberExchange) chooseSource(peers []string) {
	others := slices.DeleteFunc(slices.Clone(peers), func(addr string) bool { return addr == e.source })
	answering := slices.DeleteFunc(slices.Clone(others), func(addr string) bool { return e.failing[addr] })
	switch {
	case len(answering) > 0:
		e.source = answering[rand.IntN(len(answering))]
		close(e.sourceChanged)
		e.sourceChanged = make(chan struct{})
	case len(others) > 0:
		e.source = others[rand.IntN(len(others))]
	}
}

// fetchesFrom reports whether the leases of all homes are fetched from a peer: from the source, and from every peer until
// the first table has been received. The channel is closed when there is another source to fetch from at once.
func (e *MemberExchange) fetchesFrom(addr string) (bool, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.synced || addr == e.source, e.sourceChanged
}

// recordResult records whether an exchange with a peer succeeded. A source that fails is replaced.
func (e *MemberExchange) recordResult(addr string, succeeded bool) {
	peers := e.peers()
	e.mu.Lock()
	defer e.mu.Unlock()
	if succeeded {
		delete(e.failing, addr)
		return
	}
	e.failing[addr] = true
	if e.source == addr {
		e.chooseSource(peers)
	}
}

// exchangeLoop exchanges members with one peer after each change, and at intervals while nothing changes.
func (e *MemberExchange) exchangeLoop(ctx context.Context, addr string) {
	target := &syncTarget{client: Dial(addr, e.client)}
	for ctx.Err() == nil {
		changed := e.hub.Changed()
		fetch, sourceChanged := e.fetchesFrom(addr)
		e.exchange(ctx, target, fetch)
		waitForChange(ctx, sourceChanged, changed, memberSyncInterval)
	}
}

func (e *MemberExchange) exchange(ctx context.Context, target *syncTarget, fetch bool) {
	request := &apiv1.SyncRequest{Instance: e.instance, WantMembers: fetch, WantNodes: fetch}
	response, err := target.exchange(ctx, request, e.hub)
	e.recordResult(target.client.Addr, err == nil)
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
