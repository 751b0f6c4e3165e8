package control

import (
	"context"
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/assign"
	"samphireflow/internal/periodic"
)

// assignInterval is the time between checks of the assignments.
const assignInterval = time.Second

// assignLoop assigns nodes as relays and claim holders, and replaces nodes that are gone, while this instance leads.
func (s *Server) assignLoop(ctx context.Context) error {
	var planner *assign.Planner
	return periodic.Run(ctx, assignInterval, func(now time.Time) {
		planner = s.planAssignments(ctx, planner, now)
	})
}

// planAssignments proposes the changes that the planner returns. It returns the planner for the next call: a new one when
// this instance has just become the leader, nil while another one leads.
func (s *Server) planAssignments(ctx context.Context, planner *assign.Planner, now time.Time) *assign.Planner {
	if !s.options.Log.Status().IsLeader {
		return nil
	}
	if planner == nil {
		planner = assign.NewPlanner(now)
	}
	planner.RelayExcluded = s.controlInstances()
	for _, change := range planner.Plan(s.options.Machine.View().Assignments(), s.members.Members().Nodes, now) {
		s.proposeAssignment(ctx, change)
	}
	return planner
}

func (s *Server) proposeAssignment(ctx context.Context, change *apiv1.Assignment) {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	logger := s.options.Logger.With().Str("failure_domain_assigned", change.FailureDomain).Str("assignment_role", change.Role.String()).Uint64("epoch", change.Epoch).Logger()
	result, err := s.propose(ctx, &apiv1.Command{Kind: &apiv1.Command_Assign{Assign: change}})
	if err != nil {
		logger.Warn().Err(err).Msg("could not record an assignment")
		return
	}
	logger.Info().Str("outcome", result.Edit.Outcome.String()).Msg("assignment proposed")
}

// controlInstances returns the set of names of the control instances.
func (s *Server) controlInstances() map[string]bool {
	names := map[string]bool{}
	for _, instance := range s.options.Log.Status().Members {
		names[instance.ID] = true
	}
	return names
}
