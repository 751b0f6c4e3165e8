package state

import (
	"fmt"
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/tree"
)

const (
	// FullShare is the whole of a service's calls, in basis points.
	FullShare = 10000
	// endedMoveLimit is the number of ended moves that are remembered.
	endedMoveLimit = 1000
	// defaultFirstShare is the first share of a move when nothing else is set, in basis points.
	defaultFirstShare = 500
	// largestFirstShare bounds the first share, in basis points: a version that is bad gets a small share only.
	largestFirstShare = 2500
	percent           = 100
	// resendWindow is the time in which a request without an ID counts as a resend of one like it. Operators resend an
	// order for some seconds.
	resendWindow = 10 * time.Second
	// shortWatchPart is the part of its time for which a move is watched that is to be whole by its deadline.
	shortWatchPart = 8
)

func (m *Machine) startMove(request *apiv1.StartMoveRequest, now int64, term uint64) *apiv1.MoveResponse {
	view := m.View()
	if request.DeadlineUnixMs == 0 && request.DurationMs > 0 {
		request = proto.Clone(request).(*apiv1.StartMoveRequest)
		request.DeadlineUnixMs = now + int64(request.DurationMs)
	}
	if request.Resendable {
		if same := resent(view, request, now); same != nil {
			return &apiv1.MoveResponse{Outcome: apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED, Move: same, RepeatedAnswer: true}
		}
	}
	if fault := startFault(view, request, now); fault != "" {
		return &apiv1.MoveResponse{Outcome: apiv1.EditOutcome_EDIT_OUTCOME_INVALID, Detail: fault}
	}
	if active := view.ActiveMove(request.Service); active != nil {
		return &apiv1.MoveResponse{
			Outcome: apiv1.EditOutcome_EDIT_OUTCOME_CONFLICT,
			Move:    active,
			Detail:  fmt.Sprintf("move %s of %s to %s has not ended", active.Id, active.Service, active.ToVersion),
		}
	}
	policy := resolvePolicy(view.Tree, request)
	move := &apiv1.Move{
		Id:             request.MoveId,
		Service:        request.Service,
		FromVersion:    view.ServiceVersion(request.Service),
		ToVersion:      request.ToVersion,
		StartedUnixMs:  now,
		DeadlineUnixMs: request.DeadlineUnixMs,
		Policy:         policy,
		State:          apiv1.MoveState_MOVE_STATE_RUNNING,
		ShareBp:        policy.FirstShareBp,
		Reason:         "started",
		Revision:       1,
		StageUnixMs:    now,
		Operator:       request.Operator,
	}
	return m.acceptMove(view, move, now, term)
}

// resent returns the move that an earlier send of a request without an ID has started, nil when there is none.
func resent(view *View, request *apiv1.StartMoveRequest, now int64) *apiv1.Move {
	for i := len(view.order) - 1; i >= 0; i-- {
		move := view.moves[view.order[i]]
		if move.Service != request.Service {
			continue
		}
		recent := now-move.StartedUnixMs < resendWindow.Milliseconds()
		if move.ToVersion == request.ToVersion && (Active(move) || recent || move.State == apiv1.MoveState_MOVE_STATE_DONE) {
			return move
		}
		return nil
	}
	return nil
}

func startFault(view *View, request *apiv1.StartMoveRequest, now int64) string {
	service := tree.Path{Level: tree.LevelService, Service: request.Service}
	switch {
	case request.MoveId == "":
		return "the move has no ID"
	case view.Tree.Branch(service) == nil:
		return fmt.Sprintf("there is no service %q", request.Service)
	case view.ServiceVersion(request.Service) == "":
		return fmt.Sprintf("service %q has no version yet; set %s", request.Service, tree.KeyServiceVersion)
	case request.ToVersion == "" || request.ToVersion == view.ServiceVersion(request.Service):
		return fmt.Sprintf("service %q is at version %q already", request.Service, request.ToVersion)
	case request.DeadlineUnixMs <= now:
		return "the deadline has passed"
	}
	return ""
}

// resolvePolicy fills what the request leaves open from the tree.
func resolvePolicy(settings *tree.Tree, request *apiv1.StartMoveRequest) *apiv1.MovePolicy {
	service := tree.Path{Level: tree.LevelService, Service: request.Service}
	policy := &apiv1.MovePolicy{}
	if request.Policy != nil {
		policy = proto.Clone(request.Policy).(*apiv1.MovePolicy)
	}
	if policy.FirstShareBp == 0 {
		policy.FirstShareBp = scaled(settings.Float(service, tree.KeyMoveFirstShare), FullShare)
	}
	if policy.FirstShareBp == 0 {
		policy.FirstShareBp = defaultFirstShare
	}
	policy.FirstShareBp = min(policy.FirstShareBp, largestFirstShare)
	if policy.ErrorMarginBp == 0 {
		policy.ErrorMarginBp = scaled(settings.Float(service, tree.KeyMoveErrorMargin), FullShare)
	}
	if policy.LatencyRatioPct == 0 {
		policy.LatencyRatioPct = scaled(settings.Float(service, tree.KeyMoveLatencyRatio), percent)
	}
	if policy.WatchMs == 0 {
		policy.WatchMs = uint64(settings.Duration(service, tree.KeyMoveWatch).Milliseconds())
	}
	if request.WholeIsTheGoal {
		policy.WatchMs = request.DurationMs / shortWatchPart
	}
	if policy.ThinEvidence == "" {
		policy.ThinEvidence = settings.Text(service, tree.KeyMoveThinEvidence)
	}
	return policy
}

// scaled returns a number in a finer unit, rounded.
func scaled(number, unit float64) uint32 {
	return uint32(math.Round(number * unit))
}

func (m *Machine) cancelMove(request *apiv1.CancelMoveRequest, now int64, term uint64) *apiv1.MoveResponse {
	view := m.View()
	move := view.Move(request.MoveId)
	if move == nil {
		return &apiv1.MoveResponse{Outcome: apiv1.EditOutcome_EDIT_OUTCOME_INVALID, Detail: "there is no such move"}
	}
	if !Active(move) {
		return &apiv1.MoveResponse{Outcome: apiv1.EditOutcome_EDIT_OUTCOME_CONFLICT, Move: move, Detail: "the move has ended"}
	}
	return m.acceptMove(view, changeMove(move, now, func(changed *apiv1.Move) {
		changed.State = apiv1.MoveState_MOVE_STATE_CANCELLED
		changed.ShareBp = 0
		changed.Reason = "cancelled by " + request.Operator
	}), now, term)
}

func (m *Machine) stepMove(step *apiv1.StepMove, now int64, term uint64) *apiv1.MoveResponse {
	view := m.View()
	move := view.Move(step.MoveId)
	if move == nil || !Active(move) || move.Revision != step.Revision {
		return &apiv1.MoveResponse{Outcome: apiv1.EditOutcome_EDIT_OUTCOME_CONFLICT, Move: move, Detail: "the decision is stale"}
	}
	if fault := stepFault(move, step); fault != "" {
		return &apiv1.MoveResponse{Outcome: apiv1.EditOutcome_EDIT_OUTCOME_INVALID, Move: move, Detail: fault}
	}
	return m.acceptMove(view, changeMove(move, now, func(changed *apiv1.Move) {
		changed.State = step.State
		changed.Stage = step.Stage
		changed.ShareBp = step.ShareBp
		changed.Reason = step.Reason
	}), now, term)
}

// stepFault refuses a decision whose state and share do not go together. An ended move has no share but a done one,
// which has all of it.
func stepFault(move *apiv1.Move, step *apiv1.StepMove) string {
	whole := step.ShareBp == FullShare
	switch step.State {
	case apiv1.MoveState_MOVE_STATE_RUNNING:
		if step.ShareBp == 0 || step.ShareBp >= FullShare {
			return fmt.Sprintf("a running move cannot have a share of %d basis points", step.ShareBp)
		}
	case apiv1.MoveState_MOVE_STATE_WATCHING:
		if !whole {
			return "a watched move must have all calls"
		}
	case apiv1.MoveState_MOVE_STATE_DONE:
		if !whole || move.State != apiv1.MoveState_MOVE_STATE_WATCHING {
			return "only a watched move can be done"
		}
	case apiv1.MoveState_MOVE_STATE_TAKEN_BACK, apiv1.MoveState_MOVE_STATE_EXPIRED:
		if step.ShareBp != 0 {
			return "a move that ended without the new version cannot have a share"
		}
	default:
		return "unknown state " + step.State.String()
	}
	return ""
}

func changeMove(move *apiv1.Move, now int64, change func(*apiv1.Move)) *apiv1.Move {
	changed := proto.Clone(move).(*apiv1.Move)
	change(changed)
	changed.Revision++
	changed.StageUnixMs = now
	if !Active(changed) {
		changed.EndedUnixMs = now
	}
	return changed
}

func (m *Machine) acceptMove(view *View, move *apiv1.Move, now int64, term uint64) *apiv1.MoveResponse {
	next := view.next(term)
	move.ConfigVersion = next.Version
	next.moves, next.order = withMove(view, move)
	next.versions = withVersion(view.versions, move)
	next.history = appendHistory(view.history, &apiv1.HistoryEntry{
		Version:        next.Version,
		MoveId:         move.Id,
		Operator:       move.Operator,
		AcceptedUnixMs: now,
		Detail:         fmt.Sprintf("%s to %s: %s, share %d bp", move.Service, move.ToVersion, move.State, move.ShareBp),
	})
	m.publish(next)
	return &apiv1.MoveResponse{Outcome: apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED, Move: move}
}

func withMove(view *View, move *apiv1.Move) (map[string]*apiv1.Move, []string) {
	moves := make(map[string]*apiv1.Move, len(view.moves)+1)
	for id, other := range view.moves {
		moves[id] = other
	}
	order := view.order
	if moves[move.Id] == nil {
		order = append(append([]string(nil), view.order...), move.Id)
	}
	moves[move.Id] = move
	return forgetMoves(moves, order)
}

// forgetMoves drops the oldest ended moves beyond the limit.
func forgetMoves(moves map[string]*apiv1.Move, order []string) (map[string]*apiv1.Move, []string) {
	excess := len(order) - endedMoveLimit
	if excess <= 0 {
		return moves, order
	}
	var kept []string
	for _, id := range order {
		if excess > 0 && !Active(moves[id]) {
			delete(moves, id)
			excess--
			continue
		}
		kept = append(kept, id)
	}
	return moves, kept
}

// withVersion records the version that a finished move leaves in force.
func withVersion(versions map[string]string, move *apiv1.Move) map[string]string {
	if move.State != apiv1.MoveState_MOVE_STATE_DONE {
		return versions
	}
	changed := make(map[string]string, len(versions)+1)
	for service, version := range versions {
		changed[service] = version
	}
	changed[move.Service] = move.ToVersion
	return changed
}
