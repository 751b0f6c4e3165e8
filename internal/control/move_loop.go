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
	// judgeInterval is the time between two evaluations of the active moves.
	judgeInterval = 250 * time.Millisecond
	// proposalTimeout limits the time for the proposal of a decision on a move, an assignment or an adopted version.
	proposalTimeout = 2 * time.Second
)

// moveLoop judges the active moves. Every control instance receives the reports of the nodes and collects evidence, so
// that a new leader can continue where the last one stopped. Only the leader proposes its decisions.
func (s *Server) moveLoop(ctx context.Context) error {
	driver := move.NewDriver()
	return periodic.Run(ctx, judgeInterval, func(time.Time) {
		s.judgeMoves(ctx, driver, s.now())
	})
}

func (s *Server) judgeMoves(ctx context.Context, driver *move.Driver, now time.Time) {
	view := s.options.Machine.View()
	activeMoves := view.ActiveMoves()
	driver.Report(now, activeMoves, s.outcomes.Take())
	members := s.members.Members()
	steps := driver.Step(now, activeMoves, func(service string) move.Fleet { return fleetOf(view, members, service) })
	if !s.options.Log.Status().IsLeader {
		return
	}
	for _, active := range activeMoves {
		s.options.Logger.Debug().Str("move", active.Id).Str("hold", driver.HoldReason(active.Id)).Msg("move judged")
	}
	for _, step := range steps {
		s.proposeStep(ctx, step)
	}
}

// fleetOf describes a service, its backend servers and the live failure domains for the judge of a move.
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
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	_, err := s.propose(ctx, &apiv1.Command{Kind: &apiv1.Command_StepMove{StepMove: step}})
	logger := s.options.Logger.With().Str("move", step.MoveId).Str("state", step.State.String()).Uint32("share_bp", step.ShareBp).Logger()
	if err != nil {
		logger.Warn().Err(err).Msg("could not record a decision on a move")
		return
	}
	logger.Info().Str("reason", step.Reason).Msg("decision on a move recorded")
}
