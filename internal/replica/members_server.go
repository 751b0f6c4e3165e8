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

// forwardTimeout limits a request that is forwarded to the leader.
const forwardTimeout = 5 * time.Second

// membersServer implements the ControlMembers service.
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

// List returns the members as this instance knows them.
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
			Id: member.Identity, Name: member.ID, ControlAddr: member.ControlAddr, FailureDomain: member.FailureDomain, Learner: member.Learner,
		})
		response.Votes = response.Votes || (member.Identity == status.Identity && !member.Learner)
	}
	return response, nil
}

// Add allows an instance with a new name to join.
func (s *membersServer) Add(ctx context.Context, request *apiv1.ChangeControlMembersRequest) (*apiv1.ChangeControlMembersResponse, error) {
	return s.change(ctx, request, s.replica.Invite, apiv1.ControlMembers.Add)
}

// Remove removes an instance from the group.
func (s *membersServer) Remove(ctx context.Context, request *apiv1.ChangeControlMembersRequest) (*apiv1.ChangeControlMembersResponse, error) {
	return s.change(ctx, request, s.replica.Remove, apiv1.ControlMembers.Remove)
}

type localChange func(ctx context.Context, name string) error

type remoteChange func(leader apiv1.ControlMembers, ctx context.Context, request *apiv1.ChangeControlMembersRequest) (*apiv1.ChangeControlMembersResponse, error)

// change applies a change on this instance. If another instance is the leader, it forwards the request, but not a
// request that was forwarded already.
func (s *membersServer) change(ctx context.Context, request *apiv1.ChangeControlMembersRequest, local localChange, remote remoteChange) (*apiv1.ChangeControlMembersResponse, error) {
	err := local(ctx, request.Name)
	leader, known := LeaderOf(err)
	if !known || request.Forwarded {
		return changeResponse(err), nil
	}
	client := apiv1.NewControlMembersProtobufClient("http://"+leader.ControlAddr, s.client)
	response, err := remote(client, ctx, &apiv1.ChangeControlMembersRequest{Name: request.Name, Forwarded: true})
	if err != nil {
		return changeResponse(errors.Wrap(ErrOutcomeUnknown, err.Error())), nil
	}
	return response, nil
}

// changeResponse reports a change as accepted if there is no error, as not accepted if the error means that the change
// has no effect, and otherwise as unknown.
func changeResponse(err error) *apiv1.ChangeControlMembersResponse {
	if err == nil {
		return &apiv1.ChangeControlMembersResponse{Fate: apiv1.ChangeFate_CHANGE_FATE_ACCEPTED}
	}
	notApplied := []error{
		ErrNotLeader, ErrNoQuorum, ErrClosed, ErrStopped, ErrNoSuchMember, ErrTooManyInvited,
		raft.ErrNotLeader, raft.ErrMembershipChangePending, raft.ErrInvalidMembershipChange, raft.ErrLearnerBehind,
	}
	fate := apiv1.ChangeFate_CHANGE_FATE_UNKNOWN
	for _, refusal := range notApplied {
		if errors.Is(err, refusal) {
			fate = apiv1.ChangeFate_CHANGE_FATE_NOT_ACCEPTED
		}
	}
	return &apiv1.ChangeControlMembersResponse{Fate: fate, Detail: err.Error()}
}
