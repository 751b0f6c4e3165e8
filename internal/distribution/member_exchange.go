package distribution

import (
	"context"
	"net/http"
	"sync"

	"github.com/rs/zerolog"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/member"
)

// MemberExchange keeps the tables of the control instances the same: each one takes the changes of all others.
type MemberExchange struct {
	instance string
	hub      *member.Hub
	client   *http.Client
	logger   zerolog.Logger
	// peers returns the control addresses of the other control instances.
	peers func() []string

	mu      sync.Mutex
	targets map[string]*syncTarget
	taken   bool
}

// NewMemberExchange returns an exchange of a hub with the processes that peers names at each time.
func NewMemberExchange(instance string, hub *member.Hub, client *http.Client, peers func() []string, logger zerolog.Logger) *MemberExchange {
	return &MemberExchange{instance: instance, hub: hub, client: client, peers: peers, logger: logger, targets: map[string]*syncTarget{}}
}

// Run exchanges members until the context ends.
func (e *MemberExchange) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := e.hub.Changed()
		var running sync.WaitGroup
		for _, target := range e.current() {
			running.Go(func() { e.exchange(ctx, target) })
		}
		running.Wait()
		waitForNews(ctx, nil, changed, takeInterval)
	}
	return nil
}

// Synced reports whether the table of another control instance was taken over.
func (e *MemberExchange) Synced() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.taken
}

// current returns the targets of this round.
func (e *MemberExchange) current() []*syncTarget {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.targets
	e.targets = map[string]*syncTarget{}
	var list []*syncTarget
	for _, addr := range e.peers() {
		target := known[addr]
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
		e.logger.Debug().Err(err).Str("control", target.client.Addr).Msg("members not exchanged")
		return
	}
	if response.MembersSource == "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.taken = true
}
