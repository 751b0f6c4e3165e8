package replica

import (
	"context"
	"sync"
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/raft"
)

const (
	// joinInterval is the time between two rounds of questions of an instance that has no group.
	joinInterval = 200 * time.Millisecond
	// astrayTimeouts is how many election timeouts a member of an open group hears no leader before it asks whether it
	// is one still: as many as a leader waits before it may remove it.
	astrayTimeouts = deadTimeouts
)

// joiner is an instance with a blank folder that has asked this leader to join.
type joiner struct {
	member *apiv1.ReplicaMember
	tick   uint64
}

// formed reports whether this instance has a group.
func (r *Replica) formed() bool {
	return len(r.node.Membership().GetMembers()) > 0
}

// accepts reports whether messages of a sender may be taken. A blank folder that no group has admitted follows only
// the founder that it has promised to: it may be the remains of a voter whose disk was lost.
func (r *Replica) accepts(from string) bool {
	return r.formed() || r.identity.Admitted || (from != "" && from == r.identity.Founder)
}

func (r *Replica) self() *apiv1.ReplicaMember {
	return &apiv1.ReplicaMember{Id: r.identity.Identity, Name: r.options.ID, ControlAddr: r.ownAddr()}
}

func (r *Replica) ownAddr() string {
	for _, member := range r.options.InitialMembers {
		if member.ID == r.options.ID {
			return member.ControlAddr
		}
	}
	return r.options.OwnAddr
}

// answerJoin runs in the replica's goroutine.
func (r *Replica) answerJoin(request *apiv1.JoinRequest) *apiv1.JoinResponse {
	members := r.node.Membership().GetMembers()
	response := &apiv1.JoinResponse{Member: r.self(), Formed: r.formed(), Members: members}
	for _, member := range members {
		response.Admitted = response.Admitted || member.Id == request.Member.Id
	}
	switch {
	case response.Formed && r.node.Role() == raft.Leader && !response.Admitted:
		r.joiners[request.Member.Name] = joiner{request.Member, r.node.Ticks()}
	case !response.Formed && request.Founding:
		r.promise(request.Member.Id)
	}
	return response
}

// promise binds a blank folder to the newest founder that asked. Each answer to a founder is one to its request
// only after the promise is synced, so that two founders cannot both form a group with this folder.
func (r *Replica) promise(founder string) {
	if r.identity.Admitted || r.identity.Founder == founder {
		return
	}
	r.identity.Founder = founder
	r.storageError = r.log.SaveIdentity(r.identity)
}

// joinLoop asks the other instances until this one has a group. In an open group it goes on for life: a member that
// was cut off may have been removed, which nobody could tell it. Its folder is whole and keeps its identity, so that it
// joins as a learner that has most of the log already; a leader that still has it as a member ignores the question.
func (r *Replica) joinLoop(ctx context.Context) {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	addrs := map[string]bool{}
	addAddrs(addrs, r.options.InitialMembers)
	for _, addr := range r.options.Seeds {
		addrs[addr] = true
	}
	for r.options.OpenGroup || len(r.status.Load().Members) == 0 {
		if r.astray() {
			responses := r.askToJoin(ctx, addrs)
			if err := r.call(ctx, func() { r.takeJoinAnswers(responses) }); err != nil {
				return
			}
			for _, response := range responses {
				addAddrs(addrs, membersOf(response.Members))
			}
			addAddrs(addrs, r.status.Load().Members)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func addAddrs(addrs map[string]bool, members []Member) {
	for _, member := range members {
		addrs[member.ControlAddr] = true
	}
}

// astray reports whether this instance has no group, or has heard no leader of its group for long.
func (r *Replica) astray() bool {
	status := r.Status()
	patience := time.Duration(astrayTimeouts*r.electionTicks()) * r.options.TickInterval
	return len(status.Members) == 0 || status.LastContact > patience
}

func (r *Replica) askToJoin(ctx context.Context, addrs map[string]bool) []*apiv1.JoinResponse {
	founding := r.isFounder() && len(r.status.Load().Members) == 0
	request := &apiv1.JoinRequest{ClusterId: r.options.ClusterID, Member: r.self(), Founding: founding}
	var mu sync.Mutex
	var group sync.WaitGroup
	var responses []*apiv1.JoinResponse
	for addr := range addrs {
		if addr == r.ownAddr() {
			continue
		}
		group.Go(func() {
			response, err := r.options.Transport.Join(ctx, addr, request)
			if err != nil || response.Member == nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			responses = append(responses, response)
		})
	}
	group.Wait()
	return responses
}

// isFounder reports whether this instance is the one that forms a new group: the initial member that sorts first.
func (r *Replica) isFounder() bool {
	initial := false
	for _, member := range r.options.InitialMembers {
		if member.ID < r.options.ID {
			return false
		}
		initial = initial || member.ID == r.options.ID
	}
	return initial
}

// takeJoinAnswers runs in the replica's goroutine.
func (r *Replica) takeJoinAnswers(responses []*apiv1.JoinResponse) {
	if r.formed() {
		return
	}
	anyFormed := false
	for _, response := range responses {
		anyFormed = anyFormed || response.Formed
		if response.Admitted && !r.identity.Admitted {
			r.identity.Admitted = true
			r.storageError = r.log.SaveIdentity(r.identity)
		}
	}
	if anyFormed || r.identity.Admitted || !r.isFounder() {
		return
	}
	if members, all := r.initialMembers(responses); all {
		r.storageError = r.form(members)
	}
}

// initialMembers joins the initial members with their identities. It reports whether all have answered.
func (r *Replica) initialMembers(responses []*apiv1.JoinResponse) ([]*apiv1.ReplicaMember, bool) {
	members := []*apiv1.ReplicaMember{r.self()}
	for _, initial := range r.options.InitialMembers {
		for _, response := range responses {
			if response.Member.Name == initial.ID && initial.ID != r.options.ID {
				members = append(members, response.Member)
				break
			}
		}
	}
	sortMembers(members)
	return members, len(members) == len(r.options.InitialMembers)
}

// form starts a new group, whose members and nothing else make its first snapshot.
func (r *Replica) form(members []*apiv1.ReplicaMember) error {
	snapshot := raft.Snapshot{Index: 1, Term: 1, Membership: &apiv1.ReplicaMembership{Members: members}}
	if err := r.log.SaveSnapshot(snapshot, true, 1); err != nil {
		return err
	}
	r.node = raft.New(r.options.raftConfig(r.identity.Identity), raft.State{Snapshot: snapshot})
	r.options.Logger.Info().Int("members", len(members)).Msg("formed a new control group")
	return nil
}
