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
	// FullShare is the share of a version that gets all calls of its service, in basis points.
	FullShare = 10000
	// maxStoredMoves limits the number of stored moves. Only ended moves are evicted.
	maxStoredMoves = 1000
	// defaultFirstShare is the first share of a move if neither the request nor a setting gives one, in basis points.
	defaultFirstShare = 500
	// maxFirstShare limits the first share, in basis points, so that a bad version gets only a small share of the calls.
	maxFirstShare = 2500
	// percent is the scale of policy values in percent.
	percent = 100
	// resendWindow is the time after the start of a move in which a resendable request for the same service and version
	// counts as a retry, even if the move was rolled back or cancelled by then. Operators retry a request for some seconds.
	resendWindow = 10 * time.Second
	// watchDivisor divides the duration of a move that must reach its full share by the deadline. The quotient is the
	// time for which the move is watched at full share.
	watchDivisor = 8
)

// startMove starts a move unless the service has an active one. A deadline that the request gives as a duration counts
// from the time in the command.
func (m *Machine) startMove(request *apiv1.StartMoveRequest, now int64, term uint64) *apiv1.MoveResponse {
	view := m.View()
	if request.DeadlineUnixMs == 0 && request.DurationMs > 0 {
		request = proto.Clone(request).(*apiv1.StartMoveRequest)
		request.DeadlineUnixMs = now + int64(request.DurationMs)
	}
	if request.Resendable {
		if same := findResentMove(view, request, now); same != nil {
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

// findResentMove returns the move that an earlier attempt of a resendable request has started, or nil if there is none.
// Each attempt without an ID gets a new one, so attempts are matched by service and version: the newest move of the
// service counts if it goes to the same version and is active, done or recent.
func findResentMove(view *View, request *apiv1.StartMoveRequest, now int64) *apiv1.Move {
	for i := len(view.moveOrder) - 1; i >= 0; i-- {
		move := view.moves[view.moveOrder[i]]
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

// startFault returns the reason why a move cannot be started, or "" if it can.
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

// resolvePolicy returns the policy of the request, with missing values filled in from the tree of settings. A move that
// must reach its full share by the deadline is always watched for a fixed part of its duration.
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
	policy.FirstShareBp = min(policy.FirstShareBp, maxFirstShare)
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
		policy.WatchMs = request.DurationMs / watchDivisor
	}
	if policy.ThinEvidence == "" {
		policy.ThinEvidence = settings.Text(service, tree.KeyMoveThinEvidence)
	}
	return policy
}

// scaled multiplies a number by the scale of a finer unit, such as basis points, and rounds the product.
func scaled(number, unit float64) uint32 {
	return uint32(math.Round(number * unit))
}

// cancelMove ends an active move. The version from before the move gets all calls again.
func (m *Machine) cancelMove(request *apiv1.CancelMoveRequest, now int64, term uint64) *apiv1.MoveResponse {
	view := m.View()
	move := view.Move(request.MoveId)
	if move == nil {
		return &apiv1.MoveResponse{Outcome: apiv1.EditOutcome_EDIT_OUTCOME_INVALID, Detail: "there is no such move"}
	}
	if !Active(move) {
		return &apiv1.MoveResponse{Outcome: apiv1.EditOutcome_EDIT_OUTCOME_CONFLICT, Move: move, Detail: "the move has ended"}
	}
	return m.acceptMove(view, updatedMove(move, now, func(changed *apiv1.Move) {
		changed.State = apiv1.MoveState_MOVE_STATE_CANCELLED
		changed.ShareBp = 0
		changed.Reason = "cancelled by " + request.Operator
	}), now, term)
}

// stepMove applies a decision of the judge. It refuses a decision that was made for an older revision of the move.
func (m *Machine) stepMove(step *apiv1.StepMove, now int64, term uint64) *apiv1.MoveResponse {
	view := m.View()
	move := view.Move(step.MoveId)
	if move == nil || !Active(move) || move.Revision != step.Revision {
		return &apiv1.MoveResponse{Outcome: apiv1.EditOutcome_EDIT_OUTCOME_CONFLICT, Move: move, Detail: "the decision is stale"}
	}
	if fault := stepFault(move, step); fault != "" {
		return &apiv1.MoveResponse{Outcome: apiv1.EditOutcome_EDIT_OUTCOME_INVALID, Move: move, Detail: fault}
	}
	return m.acceptMove(view, updatedMove(move, now, func(changed *apiv1.Move) {
		changed.State = step.State
		changed.Stage = step.Stage
		changed.ShareBp = step.ShareBp
		changed.Reason = step.Reason
	}), now, term)
}

// stepFault returns the reason why a decision is invalid, or "" if it is valid. The share must fit the state: a running
// move has a partial share, a watched or done move the full share, and a move that ended otherwise has none. Only a watched
// move can be done.
func stepFault(move *apiv1.Move, step *apiv1.StepMove) string {
	fullShare := step.ShareBp == FullShare
	switch step.State {
	case apiv1.MoveState_MOVE_STATE_RUNNING:
		if step.ShareBp == 0 || step.ShareBp >= FullShare {
			return fmt.Sprintf("a running move cannot have a share of %d basis points", step.ShareBp)
		}
	case apiv1.MoveState_MOVE_STATE_WATCHING:
		if !fullShare {
			return "a watched move must have all calls"
		}
	case apiv1.MoveState_MOVE_STATE_DONE:
		if !fullShare || move.State != apiv1.MoveState_MOVE_STATE_WATCHING {
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

// updatedMove returns a changed copy of a move with the next revision. The copy has an end time if the change ends the
// move.
func updatedMove(move *apiv1.Move, now int64, change func(*apiv1.Move)) *apiv1.Move {
	changed := proto.Clone(move).(*apiv1.Move)
	change(changed)
	changed.Revision++
	changed.StageUnixMs = now
	if !Active(changed) {
		changed.EndedUnixMs = now
	}
	return changed
}

// acceptMove makes a new or changed move part of the next version, and appends the change to the history.
func (m *Machine) acceptMove(view *View, move *apiv1.Move, now int64, term uint64) *apiv1.MoveResponse {
	next := view.next(term)
	move.ConfigVersion = next.Version
	next.moves, next.moveOrder = withMove(view, move)
	next.versions = withVersion(view.versions, move)
	next.history = view.history.with(&apiv1.HistoryEntry{
		Version:        next.Version,
		MoveId:         move.Id,
		Operator:       move.Operator,
		AcceptedUnixMs: now,
		Detail:         fmt.Sprintf("%s to %s: %s, share %d bp", move.Service, move.ToVersion, move.State, move.ShareBp),
	})
	m.setView(next)
	return &apiv1.MoveResponse{Outcome: apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED, Move: move}
}

// withMove returns a copy of the moves of a view, and of their order, with a move added or replaced.
func withMove(view *View, move *apiv1.Move) (map[string]*apiv1.Move, []string) {
	moves := make(map[string]*apiv1.Move, len(view.moves)+1)
	for id, other := range view.moves {
		moves[id] = other
	}
	order := view.moveOrder
	if moves[move.Id] == nil {
		order = append(append([]string(nil), view.moveOrder...), move.Id)
	}
	moves[move.Id] = move
	return evictEndedMoves(moves, order)
}

// evictEndedMoves deletes the oldest ended moves until at most maxStoredMoves are left. Active moves are kept even above
// the limit.
func evictEndedMoves(moves map[string]*apiv1.Move, order []string) (map[string]*apiv1.Move, []string) {
	excess := len(order) - maxStoredMoves
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

// withVersion returns the versions of services with that of a move, if the move is done.
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
