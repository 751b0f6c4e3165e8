package control

import (
	"context"

	"github.com/twitchtv/twirp"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/distribution"
	"samphireflow/internal/member"
)

// membershipService serves the twirp service Membership.
type membershipService struct {
	*Server
}

// Announce refuses the request: only nodes accept announcements of backend servers.
func (s membershipService) Announce(context.Context, *apiv1.AnnounceRequest) (*apiv1.AnnounceResponse, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "a backend server announces itself to the node beside it")
}

// Renew renews the leases of a node and its backend servers.
func (s membershipService) Renew(ctx context.Context, request *apiv1.RenewRequest) (*apiv1.RenewResponse, error) {
	response := &apiv1.RenewResponse{
		Version: s.options.Machine.View().Version,
		AgeMs:   uint64(s.options.Log.Status().LastContact.Milliseconds()),
	}
	if request.MayHaveLeft {
		distribution.LearnDrains(ctx, s.members, request, s.otherControlClients(), s.options.Logger)
	}
	s.members.Renew(request, response, s.now())
	drains := s.drainsOf(request)
	switch {
	case len(drains) == 0:
	case request.StoresDrains:
		response.DrainNotStored = s.departureSaver.Wait(ctx) != nil
	default:
		response.DrainNotStored = s.drains.Store(ctx, drains) != nil
	}
	return response, nil
}

// drainsOf lists the records of drains in a renewal. Backend servers that earlier releases name only are taken for withdrawn when they
// are first named, unless the renewal announces them: that is their next start.
func (s membershipService) drainsOf(request *apiv1.RenewRequest) []*apiv1.BackendServer {
	var drains []*apiv1.BackendServer
	listed := map[string]bool{}
	for _, server := range request.Servers {
		listed[server.Instance] = true
		if member.CarriesDrain(server) {
			drains = append(drains, server)
		}
	}
	for _, instance := range request.LeavingServers {
		if !listed[instance] {
			drains = append(drains, s.members.Withdrawal(instance, request.Node.GetInstance(), s.now()))
		}
	}
	return drains
}

// StoreDrains stores the records on the disk of this instance. The node that sends them acknowledges them once enough instances have
// done so.
func (s membershipService) StoreDrains(ctx context.Context, request *apiv1.StoreDrainsRequest) (*apiv1.StoreDrainsResponse, error) {
	for _, server := range request.Servers {
		if err := member.CheckName(server.GetInstance()); err != nil {
			return nil, twirp.InvalidArgumentError("servers", err.Error())
		}
		if !member.CarriesDrain(server) {
			return nil, twirp.InvalidArgumentError("servers", "a record neither says that its backend server leaves nor carries an order to drain it")
		}
	}
	if s.options.Departures == nil {
		return nil, twirp.NewError(twirp.Unavailable, "this instance has no disk")
	}
	s.members.StoreDrains(request.Servers, s.now())
	if err := s.departureSaver.Wait(ctx); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, "the departures cannot be stored: "+err.Error())
	}
	return &apiv1.StoreDrainsResponse{Instance: s.options.Instance, FailureDomain: s.options.FailureDomain, Region: s.options.Region}, nil
}

// ListDrains lists what this instance knows of the end of backend servers.
func (s membershipService) ListDrains(_ context.Context, request *apiv1.ListDrainsRequest) (*apiv1.ListDrainsResponse, error) {
	return &apiv1.ListDrainsResponse{Servers: s.members.DrainsOf(request.Node, request.Instances)}, nil
}

// List lists the members that hold a lease.
func (s membershipService) List(context.Context, *apiv1.ListMembersRequest) (*apiv1.ListMembersResponse, error) {
	return s.members.Members(), nil
}

// CountMembers returns the number of nodes and backend servers that hold a lease.
func (s *Server) CountMembers() (nodes, servers int) {
	members := s.members.Members()
	return len(members.Nodes), len(members.Servers)
}

// Nodes lists the nodes that hold a lease.
func (s *Server) Nodes() []*apiv1.NodeInfo {
	return s.members.Members().Nodes
}
