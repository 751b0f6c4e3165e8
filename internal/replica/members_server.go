package replica

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/netfault"
	"samphireflow/internal/raft"
)

// forwardTimeout bounds a request that is passed on to the leader.
const forwardTimeout = 5 * time.Second

// membersServer is the ControlMembers service of a replica.
type membersServer struct {
	replica *Replica
	client  *http.Client
}

// MembersServer returns the twirp service that shows and changes the members.
func (r *Replica) MembersServer() apiv1.ControlMembers {
	return &membersServer{replica: r, client: &http.Client{
		Timeout:   forwardTimeout,
		Transport: &http.Transport{DialContext: netfault.Dialer(forwardTimeout)},
	}}
}

// List tells the members as this instance knows them.
func (s *membersServer) List(context.Context, *apiv1.ListControlMembersRequest) (*apiv1.ListControlMembersResponse, error) {
	status := s.replica.Status()
	response := &apiv1.ListControlMembersResponse{
		Instance:      status.ID,
		Identity:      status.Identity,
		Leader:        status.Leader,
		Joiners:       status.Joiners,
		ContactAgeMs:  uint64(status.LastContact.Milliseconds()),
		LogBytes:      uint64(status.LogBytes),
		SnapshotIndex: status.SnapshotIndex,
	}
	for _, member := range status.Members {
		response.Members = append(response.Members, &apiv1.ReplicaMember{
			Id: member.Identity, Name: member.ID, ControlAddr: member.ControlAddr, Learner: member.Learner,
		})
		response.Votes = response.Votes || (member.Identity == status.Identity && !member.Learner)
	}
	return response, nil
}

// Add lets an instance of a new name join.
func (s *membersServer) Add(ctx context.Context, request *apiv1.ChangeControlMembersRequest) (*apiv1.ChangeControlMembersResponse, error) {
	return s.change(ctx, request, s.replica.Invite, apiv1.ControlMembers.Add)
}

// Remove takes an instance out of the group.
func (s *membersServer) Remove(ctx context.Context, request *apiv1.ChangeControlMembersRequest) (*apiv1.ChangeControlMembersResponse, error) {
	return s.change(ctx, request, s.replica.Remove, apiv1.ControlMembers.Remove)
}

type changeLocally func(ctx context.Context, name string) error

type changeElsewhere func(leader apiv1.ControlMembers, ctx context.Context, request *apiv1.ChangeControlMembersRequest) (*apiv1.ChangeControlMembersResponse, error)

// change makes a change here, or passes it on to the leader once.
func (s *membersServer) change(ctx context.Context, request *apiv1.ChangeControlMembersRequest, local changeLocally, elsewhere changeElsewhere) (*apiv1.ChangeControlMembersResponse, error) {
	err := local(ctx, request.Name)
	leader, known := LeaderOf(err)
	if !known || request.Forwarded {
		return changeAnswer(err), nil
	}
	client := apiv1.NewControlMembersProtobufClient("http://"+leader.ControlAddr, s.client)
	response, err := elsewhere(client, ctx, &apiv1.ChangeControlMembersRequest{Name: request.Name, Forwarded: true})
	if err != nil {
		return changeAnswer(errors.Wrap(ErrOutcomeUnknown, err.Error())), nil
	}
	return response, nil
}

func changeAnswer(err error) *apiv1.ChangeControlMembersResponse {
	if err == nil {
		return &apiv1.ChangeControlMembersResponse{Fate: apiv1.ChangeFate_CHANGE_FATE_ACCEPTED}
	}
	certain := []error{
		ErrNotLeader, ErrNoQuorum, ErrClosed, ErrStopped, ErrNoSuchMember,
		raft.ErrNotLeader, raft.ErrMembershipChangePending, raft.ErrInvalidMembershipChange, raft.ErrLearnerBehind,
	}
	fate := apiv1.ChangeFate_CHANGE_FATE_UNKNOWN
	for _, refusal := range certain {
		if errors.Is(err, refusal) {
			fate = apiv1.ChangeFate_CHANGE_FATE_NOT_ACCEPTED
		}
	}
	return &apiv1.ChangeControlMembersResponse{Fate: fate, Detail: err.Error()}
}
