package node

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/routing"
)

var errNoServer = twirp.RequiredArgumentError("server.instance")

// Applied returns the configuration that the node has applied (twirp service Inspect).
func (n *Node) Applied(_ context.Context, request *apiv1.AppliedRequest) (*apiv1.AppliedResponse, error) {
	status := n.Status()
	response := &apiv1.AppliedResponse{
		Instance:       n.options.Instance,
		Version:        status.Snapshot.GetVersion(),
		Term:           status.Snapshot.GetTerm(),
		Digest:         status.Snapshot.GetDigest(),
		RefusedVersion: status.RefusedVersion,
		Refusal:        status.Refusal,
	}
	if !status.LastWatchResponse.IsZero() {
		response.BehindMs = uint64(time.Since(status.LastWatchResponse).Milliseconds())
	}
	if request.Whole {
		response.Snapshot = status.Snapshot
	}
	return response, nil
}

// RouteCall returns the route and the backend servers that a call would use (twirp service Inspect).
func (n *Node) RouteCall(_ context.Context, request *apiv1.RouteCallRequest) (*apiv1.RouteCallResponse, error) {
	table := n.Table()
	if table == nil {
		return nil, twirp.NewError(twirp.Unavailable, "the node has no configuration yet")
	}
	route := table.Match(request.Method, request.Path)
	if route == nil {
		return nil, twirp.NotFoundError("no route matches " + request.Method + " " + request.Path)
	}
	response := &apiv1.RouteCallResponse{Route: route.Config.Name, Service: route.Config.Service}
	for _, version := range table.Service(route.Config.Service).Versions {
		response.Candidates = append(response.Candidates, candidates(version)...)
	}
	return response, nil
}

// candidates lists the backend servers of a version. Those of other failure domains have a share of the calls only when
// the node's own failure domain has none.
func candidates(version routing.Version) []*apiv1.Candidate {
	first, second := version.Local, version.Remote
	firstIsLocal := true
	if len(first) == 0 {
		first, second, firstIsLocal = version.Remote, nil, false
	}
	var list []*apiv1.Candidate
	for _, server := range first {
		share := version.ShareBp / uint32(len(first))
		list = append(list, &apiv1.Candidate{Server: server.Info, ShareBp: share, Local: firstIsLocal})
	}
	for _, server := range second {
		list = append(list, &apiv1.Candidate{Server: server.Info})
	}
	return list
}
