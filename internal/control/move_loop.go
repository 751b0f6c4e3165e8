package control

import (
	"context"
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/move"
	"samphireflow/internal/state"
)

const (
	// judgeInterval is the time between judgements of the running moves.
	judgeInterval = 500 * time.Millisecond
	// stepTimeout bounds the proposal of a decision.
	stepTimeout = 2 * time.Second
)

// moveLoop judges the running moves while this instance leads.
func (s *Server) moveLoop(ctx context.Context) error {
	judge := move.NewJudge()
	ticker := time.NewTicker(judgeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			s.judgeMoves(ctx, judge, now)
		}
	}
}

func (s *Server) judgeMoves(ctx context.Context, judge *move.Judge, now time.Time) {
	outcomes := s.outcomes.Take()
	if !s.options.Log.Status().IsLeader {
		judge.Reset()
		return
	}
	judge.Observe(outcomes)
	for _, running := range s.options.Machine.View().Moves() {
		if !state.Active(running) {
			continue
		}
		if step := judge.Decide(running, now); step != nil {
			s.proposeStep(ctx, step)
		}
	}
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
