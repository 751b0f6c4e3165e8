package control

import (
	"context"

	"github.com/twitchtv/twirp"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/state"
)

// publishOutcomes maps the outcome of a failed command to that of a document.
var publishOutcomes = map[apiv1.EditOutcome]apiv1.PublishOutcome{
	apiv1.EditOutcome_EDIT_OUTCOME_NOT_ACCEPTED: apiv1.PublishOutcome_PUBLISH_OUTCOME_NOT_ACCEPTED,
	apiv1.EditOutcome_EDIT_OUTCOME_UNKNOWN:      apiv1.PublishOutcome_PUBLISH_OUTCOME_UNKNOWN,
}

// Publish proposes a document as the configuration (twirp service Config).
func (s *Server) Publish(ctx context.Context, request *apiv1.PublishRequest) (*apiv1.PublishResponse, error) {
	response := s.publish(ctx, request)
	s.options.Logger.Info().Uint64("number", request.Number).Uint64("base_number", request.BaseNumber).
		Str("outcome", response.Outcome.String()).Uint64("in_force", response.Number).Uint64("version", response.Version).
		Bool("repeated", response.RepeatedAnswer).Str("detail", response.Detail).Interface("faults", response.Faults).
		Msg("document proposed")
	return response, nil
}

func (s *Server) publish(ctx context.Context, request *apiv1.PublishRequest) *apiv1.PublishResponse {
	if faults := state.DocumentFaults(request); len(faults) > 0 {
		return s.answerFaultyDocument(ctx, request, faults)
	}
	return proposeOrForward(ctx, s, proposal[*apiv1.PublishResponse]{
		command: &apiv1.Command{Kind: &apiv1.Command_Publish{Publish: request}},
		answer:  (*apiv1.CommandResult).GetPublish,
		forward: func(ctx context.Context, leader string) (*apiv1.PublishResponse, error) {
			return apiv1.NewConfigProtobufClient(leader, s.client).Publish(ctx, request)
		},
		failedAnswer: func(outcome apiv1.EditOutcome, detail string) *apiv1.PublishResponse {
			return &apiv1.PublishResponse{Outcome: publishOutcomes[outcome], Detail: detail}
		},
	})
}

// answerFaultyDocument refuses a document, unless an earlier release has accepted it: that was acknowledged and stays so.
func (s *Server) answerFaultyDocument(ctx context.Context, request *apiv1.PublishRequest, faults []*apiv1.Fault) *apiv1.PublishResponse {
	if _, err := s.prepareRead(ctx, false); err != nil {
		return &apiv1.PublishResponse{Outcome: apiv1.PublishOutcome_PUBLISH_OUTCOME_NOT_ACCEPTED, Detail: err.Error()}
	}
	response := &apiv1.PublishResponse{Number: s.options.Machine.View().Document().GetNumber()}
	if s.options.Machine.Accepted(request) {
		response.Outcome, response.RepeatedAnswer = apiv1.PublishOutcome_PUBLISH_OUTCOME_ACCEPTED, true
		return response
	}
	response.Outcome, response.Detail, response.Faults = apiv1.PublishOutcome_PUBLISH_OUTCOME_INVALID, state.FaultsDetail(faults), faults
	return response
}

// Published returns the document in force (twirp service Config).
func (s *Server) Published(ctx context.Context, _ *apiv1.PublishedRequest) (*apiv1.PublishedResponse, error) {
	if _, err := s.prepareRead(ctx, false); err != nil {
		return nil, err
	}
	document := s.options.Machine.View().Document()
	content, err := s.unpacked.of(document)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &apiv1.PublishedResponse{Number: document.GetNumber(), Content: content}, nil
}
