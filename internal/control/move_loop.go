package control

import (
	"context"
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/move"
	"samphireflow/internal/periodic"
	"samphireflow/internal/state"
)

const (
	// judgeInterval is the time between judgements of the running moves.
	judgeInterval = 250 * time.Millisecond
	// stepTimeout bounds the proposal of a decision.
	stepTimeout = 2 * time.Second
)

// moveLoop judges the running moves. Every control instance gets the reports of the nodes and gathers evidence, so that
// a new leader goes on where the last one stopped; only the leader proposes its decisions.
func (s *Server) moveLoop(ctx context.Context) error {
	driver := move.NewDriver()
	return periodic.Run(ctx, judgeInterval, func(time.Time) {
		s.judgeMoves(ctx, driver, s.now())
	})
}

func (s *Server) judgeMoves(ctx context.Context, driver *move.Driver, now time.Time) {
	view := s.options.Machine.View()
	active := view.ActiveMoves()
	driver.Report(now, active, s.outcomes.Take())
	members := s.members.Members()
	steps := driver.Step(now, active, func(service string) move.Fleet { return fleetOf(view, members, service) })
	if !s.options.Log.Status().IsLeader {
		return
	}
	for _, running := range active {
		s.options.Logger.Debug().Str("move", running.Id).Str("hold", driver.HoldReason(running.Id)).Msg("move judged")
	}
	for _, step := range steps {
		s.proposeStep(ctx, step)
	}
}

// fleetOf collects what the judge of a move must know about its service.
func fleetOf(view *state.View, members *apiv1.ListMembersResponse, service string) move.Fleet {
	fleet := move.Fleet{Routes: len(view.Tree.RoutesOf(service))}
	for _, server := range members.Servers {
		if server.Service == service {
			fleet.Servers = append(fleet.Servers, server)
		}
	}
	for _, node := range members.Nodes {
		fleet.Domains = append(fleet.Domains, node.FailureDomain)
	}
	return fleet
}

func (s *Server) proposeStep(ctx context.Context, step *apiv1.StepMove) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	_, err := s.propose(ctx, &apiv1.Command{Kind: &apiv1.Command_StepMove{StepMove: step}})
	logger := s.options.Logger.With().Str("move", step.MoveId).Str("state", step.State.String()).Uint32("share_bp", step.ShareBp).Logger()
	if err != nil {
		logger.Warn().Err(err).Msg("decision on a move not recorded")
		return
	}
	logger.Info().Str("reason", step.Reason).Msg("decision on a move recorded")
}
