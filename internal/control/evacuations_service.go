package control

import (
	"context"
	"fmt"
	"math/rand/v2"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/member"
	"samphireflow/internal/tree"
)

const (
	// maxEvacuationTries bounds the proposals of one order that lose against other changes of the same branch.
	maxEvacuationTries = 5
	// domainLearnTime is the time after the start of this process by which the members of all failure domains that can be
	// reached have renewed their leases.
	domainLearnTime = 2 * member.LeaseTime
)

// evacuationsService serves the twirp service Evacuations.
type evacuationsService struct {
	*Server
}

// Evacuations returns the twirp service for calls within the process.
func (s *Server) Evacuations() apiv1.Evacuations {
	return evacuationsService{s}
}

// Order gives or withdraws an evacuation.
func (s evacuationsService) Order(ctx context.Context, request *apiv1.OrderEvacuationRequest) (*apiv1.OrderEvacuationResponse, error) {
	response := s.order(ctx, request)
	s.options.Logger.Info().Str("evacuated_domain", request.FailureDomain).Bool("withdrawn", request.Withdraw).Str("operator", request.Operator).
		Str("outcome", response.Outcome.String()).Uint64("version", response.Version).Bool("repeated", response.RepeatedAnswer).
		Str("detail", response.Detail).Msg("evacuation ordered")
	return response, nil
}

func (s evacuationsService) order(ctx context.Context, request *apiv1.OrderEvacuationRequest) *apiv1.OrderEvacuationResponse {
	order, valid := newEvacuationOrder(request)
	if !valid {
		return unknownDomain(request.FailureDomain, apiv1.EditOutcome_EDIT_OUTCOME_INVALID)
	}
	for range maxEvacuationTries {
		if _, err := s.prepareRead(ctx, false); err != nil {
			return &apiv1.OrderEvacuationResponse{Outcome: apiv1.EditOutcome_EDIT_OUTCOME_NOT_ACCEPTED, Detail: err.Error()}
		}
		if refused := s.checkDomain(request.FailureDomain); refused != nil {
			return refused
		}
		edit, done := order.decide(s.options.Machine.View())
		if done != nil {
			return done
		}
		answer, err := s.Edit(ctx, &apiv1.EditRequest{
			EditId:   fmt.Sprintf("evacuation/%s/%016x", request.FailureDomain, rand.Uint64()),
			Operator: request.Operator,
			Comment:  request.Comment,
			Branches: []*apiv1.BranchEdit{edit},
		})
		switch {
		case err != nil:
			return &apiv1.OrderEvacuationResponse{Outcome: apiv1.EditOutcome_EDIT_OUTCOME_UNKNOWN, Detail: err.Error()}
		case answer.Outcome != apiv1.EditOutcome_EDIT_OUTCOME_CONFLICT:
			return &apiv1.OrderEvacuationResponse{Outcome: answer.Outcome, Version: answer.Version, Detail: answer.Detail}
		}
	}
	return &apiv1.OrderEvacuationResponse{
		Outcome: apiv1.EditOutcome_EDIT_OUTCOME_CONFLICT,
		Detail:  "the settings of the failure domain changed several times meanwhile",
	}
}

// checkDomain refuses the name of a failure domain that does not exist. A process that has just started cannot know that yet.
func (s evacuationsService) checkDomain(name string) *apiv1.OrderEvacuationResponse {
	s.learnDomains()
	switch {
	case s.domains.contains(name):
		return nil
	case s.now().Sub(s.started) < domainLearnTime:
		return unknownDomain(name, apiv1.EditOutcome_EDIT_OUTCOME_NOT_ACCEPTED)
	}
	return unknownDomain(name, apiv1.EditOutcome_EDIT_OUTCOME_INVALID)
}

func unknownDomain(name string, outcome apiv1.EditOutcome) *apiv1.OrderEvacuationResponse {
	return &apiv1.OrderEvacuationResponse{Outcome: outcome, Detail: fmt.Sprintf("failure domain %q is not known", name)}
}

// List lists the evacuations in force.
func (s evacuationsService) List(ctx context.Context, request *apiv1.ListEvacuationsRequest) (*apiv1.ListEvacuationsResponse, error) {
	freshness, err := s.prepareRead(ctx, request.Stale)
	if err != nil {
		return nil, err
	}
	view := s.options.Machine.View()
	response := &apiv1.ListEvacuationsResponse{Freshness: freshness}
	for _, branch := range view.Tree.AtLevel(tree.LevelSite) {
		if !branch.Evacuated() {
			continue
		}
		evacuation := &apiv1.Evacuation{FailureDomain: branch.Path.Site}
		for _, setting := range branch.Settings() {
			if setting.Key == tree.KeySiteEvacuated {
				evacuation.Operator, evacuation.EditId, evacuation.Version = setting.Operator, setting.EditId, setting.Version
			}
		}
		for _, entry := range view.History(evacuation.Version+1, 1) {
			if entry.Version == evacuation.Version {
				evacuation.OrderedUnixMs, evacuation.Comment = entry.AcceptedUnixMs, entry.Comment
			}
		}
		response.Evacuations = append(response.Evacuations, evacuation)
	}
	return response, nil
}
