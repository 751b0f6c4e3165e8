package cli

import (
	"context"
	"flag"
	"math"
	"time"

	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/tree"
)

const basisPointsPerUnit = 10000

// moveFlags holds the flags of a new move. The settings of the tree replace zero values of the policy.
type moveFlags struct {
	id           string
	deadline     string
	firstShare   float64
	errorMargin  float64
	latencyRatio float64
	watch        time.Duration
	thinEvidence string
}

func (m *moveFlags) register(flags *flag.FlagSet) {
	const fromTree = "; from the tree when not set"
	flags.StringVar(&m.id, "id", "", "ID of the move, to send a move again whose fate is not known; random when not set")
	flags.StringVar(&m.deadline, "deadline", "", "when the move must be whole: a duration from now or a time in RFC 3339")
	flags.Float64Var(&m.firstShare, "first-share", 0, "share of calls at the first stage"+fromTree)
	flags.Float64Var(&m.errorMargin, "error-margin", 0, "rise of the error rate at which the new version is bad"+fromTree)
	flags.Float64Var(&m.latencyRatio, "latency-ratio", 0, "ratio of call durations, new to old, at which it is bad"+fromTree)
	flags.DurationVar(&m.watch, "watch", 0, "time for which the whole move is still judged"+fromTree)
	flags.StringVar(&m.thinEvidence, "thin-evidence", "", "advance or take-back at the deadline with too little evidence"+fromTree)
}

func moveStartCommand(s *session) *command {
	var m moveFlags
	return &command{
		name: "start", args: "SERVICE VERSION --deadline DURATION|RFC3339", synopsis: "move a service to a new version by a deadline",
		minArgs: 2, maxArgs: 2, session: s, flags: m.register,
		run: func(ctx context.Context, s *session, args []string) error {
			request, err := m.request(args[0], args[1], s.options.Operator, time.Now())
			if err != nil {
				return usageError(err)
			}
			return sendMoveRequest(ctx, s, describeStart(request), func(ctx context.Context, to *endpoint) (*apiv1.MoveResponse, error) {
				return to.moves.Start(ctx, request)
			})
		},
	}
}

// deadlineFormat is RFC 3339 with milliseconds, which is the precision of requests.
const deadlineFormat = "2006-01-02T15:04:05.000Z07:00"

// describeStart returns the flags with which the operator can send the same request again. It includes the deadline as
// an absolute time, because a duration from now would make the second request differ from the first.
func describeStart(request *apiv1.StartMoveRequest) string {
	deadline := time.UnixMilli(request.DeadlineUnixMs).UTC().Format(deadlineFormat)
	return "move --id " + request.MoveId + " --deadline " + deadline
}

func (m *moveFlags) request(service, version, operator string, now time.Time) (*apiv1.StartMoveRequest, error) {
	if m.deadline == "" {
		return nil, errors.New("--deadline is missing")
	}
	deadline, err := parseDeadline(m.deadline, now)
	if err != nil {
		return nil, err
	}
	policy, err := m.policy()
	if err != nil {
		return nil, err
	}
	id := m.id
	if id == "" {
		id = newID()
	}
	return &apiv1.StartMoveRequest{
		MoveId: id, Operator: operator, Service: service, ToVersion: version,
		DeadlineUnixMs: deadline.UnixMilli(), Policy: policy,
	}, nil
}

func (m *moveFlags) policy() (*apiv1.MovePolicy, error) {
	if m.firstShare < 0 || m.firstShare > 1 || m.errorMargin < 0 || m.errorMargin > 1 {
		return nil, errors.New("--first-share and --error-margin are shares from 0 to 1")
	}
	if m.latencyRatio < 0 || m.watch < 0 {
		return nil, errors.New("--latency-ratio and --watch cannot be negative")
	}
	switch m.thinEvidence {
	case "", tree.ThinEvidenceAdvance, tree.ThinEvidenceTakeBack:
	default:
		return nil, errors.Errorf("--thin-evidence %q is neither %s nor %s", m.thinEvidence, tree.ThinEvidenceAdvance, tree.ThinEvidenceTakeBack)
	}
	return &apiv1.MovePolicy{
		FirstShareBp:    uint32(math.Round(m.firstShare * basisPointsPerUnit)),
		ErrorMarginBp:   uint32(math.Round(m.errorMargin * basisPointsPerUnit)),
		LatencyRatioPct: uint32(math.Round(m.latencyRatio * 100)),
		WatchMs:         uint64(m.watch.Milliseconds()),
		ThinEvidence:    m.thinEvidence,
	}, nil
}
