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
	return s.proposeEdit(ctx, command, func(ctx context.Context, leader apiv1.Config) (*apiv1.EditResponse, error) {
		return leader.Edit(ctx, request)
	})
}

// Revert proposes a new version that restores an older one (twirp service Config).
func (s *Server) Revert(ctx context.Context, request *apiv1.RevertRequest) (*apiv1.EditResponse, error) {
	command := &apiv1.Command{Kind: &apiv1.Command_Revert{Revert: request}}
	return s.proposeEdit(ctx, command, func(ctx context.Context, leader apiv1.Config) (*apiv1.EditResponse, error) {
		return leader.Revert(ctx, request)
	})
}

// dryRun returns the answer to an edit that is only validated.
func dryRun(view *state.View, request *apiv1.EditRequest) *apiv1.EditResponse {
	if _, refusal := state.CheckEdit(view, request); refusal != nil {
		return refusal
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
