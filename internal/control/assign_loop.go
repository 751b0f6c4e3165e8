package control

import (
	"context"
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/assign"
	"samphireflow/internal/periodic"
)

// assignInterval is the time between looks at the agreed sets of nodes.
const assignInterval = time.Second

// assignLoop keeps the agreed sets of nodes filled while this instance leads.
func (s *Server) assignLoop(ctx context.Context) error {
	var planner *assign.Planner
	return periodic.Run(ctx, assignInterval, func(now time.Time) {
		planner = s.planAssignments(ctx, planner, now)
	})
}

// planAssignments proposes what the planner wants and returns the planner, a new one when the lead was just taken.
func (s *Server) planAssignments(ctx context.Context, planner *assign.Planner, now time.Time) *assign.Planner {
	if !s.options.Log.Status().IsLeader {
		return nil
	}
	if planner == nil {
		planner = assign.NewPlanner(now)
	}
	planner.RelayExcluded = s.controlNames()
	for _, change := range planner.Plan(s.options.Machine.View().Assignments(), s.members.Members().Nodes, now) {
		s.proposeAssignment(ctx, change)
	}
	return planner
}

func (s *Server) proposeAssignment(ctx context.Context, change *apiv1.Assignment) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	logger := s.options.Logger.With().Str("failure_domain_assigned", change.FailureDomain).Str("assignment_role", change.Role.String()).Uint64("epoch", change.Epoch).Logger()
	result, err := s.propose(ctx, &apiv1.Command{Kind: &apiv1.Command_Assign{Assign: change}})
	if err != nil {
		logger.Warn().Err(err).Msg("assignment not recorded")
		return
	}
	logger.Info().Str("outcome", result.Edit.Outcome.String()).Msg("assignment proposed")
}

// controlNames holds the names of the control instances.
func (s *Server) controlNames() map[string]bool {
	names := map[string]bool{}
	for _, instance := range s.options.Log.Status().Members {
		names[instance.ID] = true
	}
	return names
}
