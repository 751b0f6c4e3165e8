package replica

import (
	"context"
	"sync"
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/raft"
)

const (
	// joinInterval is the time between two rounds of join requests.
	joinInterval = 200 * time.Millisecond
	// rejoinTimeouts is the number of election timeouts without contact after which a member of an open group sends
	// join requests, because the leader may have removed it. The leader waits as long before it may remove a member.
	rejoinTimeouts = openDeadTimeouts
)

// joinRequest is the last join request that the leader received from an instance.
type joinRequest struct {
	member       *apiv1.ReplicaMember
	receivedTick uint64
}

// hasGroup reports whether this instance knows the membership of a group.
func (r *Replica) hasGroup() bool {
	return len(r.node.Membership().GetMembers()) > 0
}

// acceptsFrom reports whether Raft messages of a sender may be processed. An instance with an empty data folder may be
// a voter that lost its disk, so it accepts messages only from the founder that it recorded until a group has admitted
// it.
func (r *Replica) acceptsFrom(from string) bool {
	return r.hasGroup() || r.identity.Admitted || (from != "" && from == r.identity.Founder)
}

func (r *Replica) ownMember() *apiv1.ReplicaMember {
	return &apiv1.ReplicaMember{Id: r.identity.Identity, Name: r.options.ID, ControlAddr: r.ownAddr(), FailureDomain: r.options.FailureDomain}
}

func (r *Replica) ownAddr() string {
	for _, member := range r.options.InitialMembers {
		if member.ID == r.options.ID {
			return member.ControlAddr
		}
	}
	return r.options.OwnAddr
}

// handleJoin runs on the loop. It answers a join request: a leader remembers an instance that is not a member yet, and
// an instance without a group records the founder that sent the request.
func (r *Replica) handleJoin(request *apiv1.JoinRequest) *apiv1.JoinResponse {
	members := r.node.Membership().GetMembers()
	response := &apiv1.JoinResponse{Member: r.ownMember(), Formed: r.hasGroup(), Members: members}
	for _, member := range members {
		response.Admitted = response.Admitted || member.Id == request.Member.Id
	}
	switch {
	case response.Formed && r.node.Role() == raft.Leader && !response.Admitted:
		r.joinRequests[request.Member.Name] = joinRequest{request.Member, r.node.Ticks()}
	case !response.Formed && request.Founding:
		r.recordFounder(request.Member.Id)
	}
	return response
}

// recordFounder binds an empty data folder to the founder whose request came last. The founder gets its response only
// after the record is synced, so that two founders cannot both form a group with this folder.
func (r *Replica) recordFounder(founder string) {
	if r.identity.Admitted || r.identity.Founder == founder {
		return
	}
	r.identity.Founder = founder
	r.joinStorageError = r.log.SaveIdentity(r.identity)
}

// joinLoop sends join requests to the other instances until this one has a group. In an open group it runs until the
// replica stops: a member that was partitioned from the others may have been removed without receiving any message
// about it. Such a member keeps its data folder and identity, so that it joins again as a learner that already has most
// of the log. A leader that still lists it as a member ignores the request.
func (r *Replica) joinLoop(ctx context.Context) {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	addrs := map[string]bool{}
	addAddrs(addrs, r.options.InitialMembers)
	for _, addr := range r.options.Seeds {
		addrs[addr] = true
	}
	for r.options.OpenGroup || len(r.status.Load().Members) == 0 {
		if r.shouldRequestJoin() {
			responses := r.sendJoinRequests(ctx, addrs)
			if err := r.runOnLoop(ctx, func() { r.handleJoinResponses(responses) }); err != nil {
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

// shouldRequestJoin reports whether this instance has no group, or has had no contact with its group for rejoinTimeouts
// election timeouts.
func (r *Replica) shouldRequestJoin() bool {
	status := r.Status()
	rejoinAfter := time.Duration(rejoinTimeouts*r.electionTicks()) * r.options.TickInterval
	return len(status.Members) == 0 || status.LastContact > rejoinAfter
}

func (r *Replica) sendJoinRequests(ctx context.Context, addrs map[string]bool) []*apiv1.JoinResponse {
	founding := r.isFounder() && len(r.status.Load().Members) == 0
	request := &apiv1.JoinRequest{ClusterId: r.options.ClusterID, Member: r.ownMember(), Founding: founding}
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

// isFounder reports whether this instance forms a new group if there is none. The founder is the initial member whose
// ID sorts first.
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

// handleJoinResponses runs on the loop. It records that a group has admitted this instance. If no instance reports a
// group and all initial members have responded, the founder forms a new one.
func (r *Replica) handleJoinResponses(responses []*apiv1.JoinResponse) {
	if r.hasGroup() {
		return
	}
	anyFormed := false
	for _, response := range responses {
		anyFormed = anyFormed || response.Formed
		if response.Admitted && !r.identity.Admitted {
			r.identity.Admitted = true
			r.joinStorageError = r.log.SaveIdentity(r.identity)
		}
	}
	if anyFormed || r.identity.Admitted || !r.isFounder() {
		return
	}
	if members, all := r.initialMembers(responses); all {
		r.joinStorageError = r.formGroup(members)
	}
}

// initialMembers returns the initial members with the identities from their responses. It reports whether all of them
// have responded.
func (r *Replica) initialMembers(responses []*apiv1.JoinResponse) ([]*apiv1.ReplicaMember, bool) {
	members := []*apiv1.ReplicaMember{r.ownMember()}
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

// formGroup starts a new group with a first snapshot that holds the members and an empty state.
func (r *Replica) formGroup(members []*apiv1.ReplicaMember) error {
	snapshot := raft.Snapshot{Index: 1, Term: 1, Membership: &apiv1.ReplicaMembership{Members: members}}
	if err := r.log.SaveSnapshot(snapshot, true, 1); err != nil {
		return err
	}
	r.node = raft.New(r.options.raftConfig(r.identity.Identity), raft.State{Snapshot: snapshot})
	r.options.Logger.Info().Int("members", len(members)).Msg("formed a new control group")
	return nil
}
