package control

import (
	"context"

	"github.com/twitchtv/twirp"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/state"
	"samphireflow/internal/tree"
)

// Edit proposes an edit (twirp service Config).
func (s *Server) Edit(ctx context.Context, request *apiv1.EditRequest) (*apiv1.EditResponse, error) {
	if request.DryRun {
		return dryRun(s.options.Machine.View(), request), nil
	}
	command := &apiv1.Command{Kind: &apiv1.Command_Edit{Edit: request}}
	forward := func(ctx context.Context, leader apiv1.Config) (*apiv1.EditResponse, error) {
		return leader.Edit(ctx, request)
	}
	if !state.EditsPlaces(request) {
		return s.proposeEdit(ctx, command, forward)
	}
	faults := func(view *state.View) []*apiv1.Fault { return state.EditFaults(view, request) }
	return s.proposeRouteEdit(ctx, command, faults, forward)
}

// Revert proposes a new version that restores an older one (twirp service Config).
func (s *Server) Revert(ctx context.Context, request *apiv1.RevertRequest) (*apiv1.EditResponse, error) {
	command := &apiv1.Command{Kind: &apiv1.Command_Revert{Revert: request}}
	faults := func(view *state.View) []*apiv1.Fault { return state.RevertFaults(view, request) }
	return s.proposeRouteEdit(ctx, command, faults, func(ctx context.Context, leader apiv1.Config) (*apiv1.EditResponse, error) {
		return leader.Revert(ctx, request)
	})
}

// proposeRouteEdit proposes an edit that may change the hosts of routes, unless it has faults that the execution of the command
// does not see. One such edit is proposed at a time, and after a linearizable read, so that the leader checks each against those
// before it. An edit that was answered before gets its answer again.
func (s *Server) proposeRouteEdit(ctx context.Context, command *apiv1.Command, faultsIn func(*state.View) []*apiv1.Fault, forward forwardEditFunc) (*apiv1.EditResponse, error) {
	notAccepted := func(err error) *apiv1.EditResponse {
		return &apiv1.EditResponse{Outcome: apiv1.EditOutcome_EDIT_OUTCOME_NOT_ACCEPTED, Detail: err.Error()}
	}
	if err := s.routeEdits.Acquire(ctx, 1); err != nil {
		return notAccepted(err), nil
	}
	defer s.routeEdits.Release(1)
	if _, err := s.prepareRead(ctx, false); err != nil {
		return notAccepted(err), nil
	}
	view := s.options.Machine.View()
	if faults := faultsIn(view); len(faults) > 0 && !s.options.Machine.Answered(command) {
		return refusedEdit(view, faults), nil
	}
	return s.proposeEdit(ctx, command, forward)
}

// refusedEdit returns the answer that refuses an edit because of its faults.
func refusedEdit(view *state.View, faults []*apiv1.Fault) *apiv1.EditResponse {
	return &apiv1.EditResponse{
		Outcome: apiv1.EditOutcome_EDIT_OUTCOME_INVALID, Version: view.Version, Faults: faults, Detail: state.FaultsDetail(faults),
	}
}

// dryRun returns the answer to an edit that is only validated.
func dryRun(view *state.View, request *apiv1.EditRequest) *apiv1.EditResponse {
	if _, refusal := state.CheckEdit(view, request); refusal != nil {
		return refusal
	}
	if faults := state.EditFaults(view, request); len(faults) > 0 {
		return refusedEdit(view, faults)
	}
	return &apiv1.EditResponse{Outcome: apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED, Version: view.Version, Detail: "valid; nothing was changed"}
}

// forwardEditFunc sends a request to the leader.
type forwardEditFunc func(ctx context.Context, leader apiv1.Config) (*apiv1.EditResponse, error)

func (s *Server) proposeEdit(ctx context.Context, command *apiv1.Command, forward forwardEditFunc) (*apiv1.EditResponse, error) {
	return proposeOrForward(ctx, s, proposal[*apiv1.EditResponse]{
		command: command,
		answer:  (*apiv1.CommandResult).GetEdit,
		forward: func(ctx context.Context, leader string) (*apiv1.EditResponse, error) {
			return forward(ctx, apiv1.NewConfigProtobufClient(leader, s.client))
		},
		failedAnswer: func(outcome apiv1.EditOutcome, detail string) *apiv1.EditResponse {
			return &apiv1.EditResponse{Outcome: outcome, Detail: detail}
		},
	}), nil
}

// Show returns the branches at or below a path, of the current or an older version (twirp service Config).
func (s *Server) Show(ctx context.Context, request *apiv1.ShowRequest) (*apiv1.ShowResponse, error) {
	freshness, err := s.prepareRead(ctx, request.Stale)
	if err != nil {
		return nil, err
	}
	view := s.options.Machine.View()
	shownTree, version := view.Tree, view.Version
	if request.Version != 0 {
		olderTree, ok := view.TreeAt(request.Version)
		if !ok {
			return nil, twirp.NotFoundError("the history does not hold this version")
		}
		shownTree, version = olderTree, request.Version
	}
	response := &apiv1.ShowResponse{Version: version, Freshness: freshness}
	for _, branch := range shownTree.Branches() {
		if isAtOrBelow(branch.Path.String(), request.Path) {
			response.Branches = append(response.Branches, branch.Message())
		}
	}
	return response, nil
}

// isAtOrBelow reports whether a branch is at or below a path. All branches are below the empty path and "/".
func isAtOrBelow(branch, path string) bool {
	if path == "" || path == "/" || branch == path {
		return true
	}
	return len(branch) > len(path) && branch[:len(path)+1] == path+"/"
}

// Explain returns the settings that are in force at a path, and where each value comes from (twirp service Config).
func (s *Server) Explain(ctx context.Context, request *apiv1.ExplainRequest) (*apiv1.ExplainResponse, error) {
	path, err := tree.ParsePath(request.Path)
	if err != nil {
		return nil, twirp.InvalidArgumentError("path", err.Error())
	}
	if request.Site != "" {
		path = path.ForSite(request.Site)
	}
	freshness, err := s.prepareRead(ctx, request.Stale)
	if err != nil {
		return nil, err
	}
	response := &apiv1.ExplainResponse{Freshness: freshness}
	for _, resolved := range s.options.Machine.View().Tree.Explain(path) {
		response.Settings = append(response.Settings, resolved.Message())
	}
	return response, nil
}

// History lists accepted changes, the newest first (twirp service Config).
func (s *Server) History(ctx context.Context, request *apiv1.HistoryRequest) (*apiv1.HistoryResponse, error) {
	freshness, err := s.prepareRead(ctx, request.Stale)
	if err != nil {
		return nil, err
	}
	limit := int(request.Limit)
	if limit == 0 {
		limit = defaultHistoryLimit
	}
	entries := s.options.Machine.View().History(request.BeforeVersion, limit)
	return &apiv1.HistoryResponse{Entries: entries, Freshness: freshness}, nil
}

// defaultHistoryLimit is the number of entries to list when a request sets no limit.
const defaultHistoryLimit = 20
