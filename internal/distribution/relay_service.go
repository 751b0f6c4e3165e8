package distribution

import (
	"context"
	"slices"
	"time"

	"github.com/twitchtv/twirp"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/member"
)

// Report adds the call outcomes of a node to those that are reported to the control instances (twirp service
// Distribution). A repeated report is ignored.
func (r *Relay) Report(_ context.Context, request *apiv1.ReportRequest) (*apiv1.ReportResponse, error) {
	if r.reportDeduplicator.IsNew(request) {
		for _, reporter := range r.reporters {
			reporter.Add(request.Outcomes)
		}
	}
	return &apiv1.ReportResponse{}, nil
}

// Floor returns the newest version that this relay holds (twirp service Distribution).
func (r *Relay) Floor(context.Context, *apiv1.FloorRequest) (*apiv1.FloorResponse, error) {
	return r.state.floorResponse(), nil
}

// Announce returns an error: backend servers announce themselves to nodes, not to relays (twirp service Membership).
func (r *Relay) Announce(context.Context, *apiv1.AnnounceRequest) (*apiv1.AnnounceResponse, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "a backend server announces itself to the node beside it")
}

// Renew extends the leases of a node (twirp service Membership).
func (r *Relay) Renew(ctx context.Context, request *apiv1.RenewRequest) (*apiv1.RenewResponse, error) {
	response := &apiv1.RenewResponse{AgeMs: uint64(r.state.Age().Milliseconds())}
	if request.MayHaveLeft {
		LearnDrains(ctx, r.hub, request, r.controlClients(), r.options.Logger)
	}
	r.hub.Renew(request, response, time.Now())
	drains := slices.DeleteFunc(slices.Concat(request.Servers, response.Overruling), func(server *apiv1.BackendServer) bool {
		return !member.CarriesDrain(server)
	})
	if len(drains) > 0 {
		response.DrainNotStored = !r.handOn(ctx, drains)
	}
	if newest := r.state.released.Newest(); newest != nil {
		response.Version = newest.Version
	}
	return response, nil
}

// StoreDrains returns an error: a relay has no disk (twirp service Membership).
func (r *Relay) StoreDrains(context.Context, *apiv1.StoreDrainsRequest) (*apiv1.StoreDrainsResponse, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "a relay has no disk")
}

// ListDrains lists what this relay knows of the end of backend servers (twirp service Membership).
func (r *Relay) ListDrains(_ context.Context, request *apiv1.ListDrainsRequest) (*apiv1.ListDrainsResponse, error) {
	return &apiv1.ListDrainsResponse{Servers: r.hub.DrainsOf(request.Node, request.Instances)}, nil
}

// List lists the members that this relay knows (twirp service Membership).
func (r *Relay) List(context.Context, *apiv1.ListMembersRequest) (*apiv1.ListMembersResponse, error) {
	return r.hub.Members(), nil
}

// Sync records the state and the leases that another relay sends, and responds with those of this relay (twirp service
// Relay).
func (r *Relay) Sync(_ context.Context, request *apiv1.SyncRequest) (*apiv1.SyncResponse, error) {
	if request.FailureDomain != r.options.FailureDomain {
		return nil, twirp.InvalidArgumentError("failure_domain", "is not that of this relay")
	}
	r.state.learnRelays(request.Relays)
	r.state.recordRelayStatus(request.Instance, request.Synced, request.Version, request.Released)
	response := HandleSync(r.hub, request, r.state.MembersComplete(), time.Now())
	synced, version := r.state.syncStatus()
	newest, released := r.state.newestVersions()
	response.Instance = r.options.Instance
	response.Synced = synced
	response.Version = version
	response.Released = released
	response.AgeMs = uint64(r.state.Age().Milliseconds())
	if newest.GetVersion() > request.Version {
		update := r.state.held.UpdateFrom(nil, request.Version, request.Digest)
		response.Snapshot, response.Delta = update.Snapshot, update.Delta
	}
	return response, nil
}

// Probe probes a node on behalf of another process (twirp service Relay).
func (r *Relay) Probe(ctx context.Context, request *apiv1.ProbeRequest) (*apiv1.ProbeResponse, error) {
	return &apiv1.ProbeResponse{Reached: ProbeNode(ctx, r.options.Client, request.ControlAddr)}, nil
}

// HandleSync merges the leases of a Sync request into the hub. When the sender wants members and the table is complete, the
// response carries the changes that the sender does not have yet.
func HandleSync(hub *member.Hub, request *apiv1.SyncRequest, complete bool, now time.Time) *apiv1.SyncResponse {
	hub.Merge(request.Instance, request.Nodes, request.Servers, now)
	response := &apiv1.SyncResponse{HomeDigest: hub.HomeDigest(request.Instance)}
	if !request.WantMembers || !complete {
		return response
	}
	since := request.MembersSeq
	if request.MembersSource != hub.Source() {
		since = 0
	}
	changes := hub.ChangesFor(request.Instance, since)
	response.MembersSource, response.MembersSeq = hub.Source(), changes.Seq
	response.Servers, response.MembersFull = changes.Servers, changes.Full
	if request.WantNodes {
		response.Nodes = changes.Nodes
	}
	return response
}
