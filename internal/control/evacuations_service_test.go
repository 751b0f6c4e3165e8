package control

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/replica"
	"samphireflow/internal/state"
	"samphireflow/internal/tree"
)

// fakeLog is a replicated log of one instance.
type fakeLog struct {
	machine *state.Machine
	// beforeNext runs before the next proposal is applied.
	beforeNext func()
	// loseNext makes the next proposal take effect without an answer, as when the leader changes. failReads refuses reads.
	loseNext  bool
	failReads bool
	proposals int
	// mu is held while a proposal is applied, nil if there is one at a time.
	mu *sync.Mutex
}

func (l *fakeLog) Propose(_ context.Context, data []byte) ([]byte, error) {
	if l.mu != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
	}
	if run := l.beforeNext; run != nil {
		l.beforeNext = nil
		run()
	}
	l.proposals++
	result := l.machine.Apply(uint64(l.proposals), 1, data)
	if l.loseNext {
		l.loseNext = false
		return nil, context.DeadlineExceeded
	}
	return result, nil
}

func (l *fakeLog) ReadIndex(context.Context) error {
	if l.failReads {
		return replica.ErrNoQuorum
	}
	return nil
}

func (l *fakeLog) Status() replica.Status {
	return replica.Status{Members: []replica.Member{{ID: "c0", FailureDomain: "hobart"}, {ID: "c1", FailureDomain: "burnie"}}}
}

func newEvacuationServer(machine *state.Machine) (*fakeLog, *Server) {
	log := &fakeLog{machine: machine}
	return log, New(Options{Instance: "c0", Log: log, Machine: machine, Logger: zerolog.Nop()})
}

func orderEvacuation(t *testing.T, s *Server, domain string, withdraw bool) *apiv1.OrderEvacuationResponse {
	response, err := s.Evacuations().Order(context.Background(), &apiv1.OrderEvacuationRequest{FailureDomain: domain, Withdraw: withdraw, Operator: "ann", Comment: "smoke"})
	require.NoError(t, err)
	return response
}

func evacuated(m *state.Machine) []string { return m.View().Tree.EvacuatedDomains() }

const (
	orderAccepted    = apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED
	orderConflict    = apiv1.EditOutcome_EDIT_OUTCOME_CONFLICT
	orderInvalid     = apiv1.EditOutcome_EDIT_OUTCOME_INVALID
	orderNotAccepted = apiv1.EditOutcome_EDIT_OUTCOME_NOT_ACCEPTED
	orderUnknown     = apiv1.EditOutcome_EDIT_OUTCOME_UNKNOWN
)

func TestEvacuationIsOrderedResentAndWithdrawn(t *testing.T) {
	m := state.NewMachine()
	_, s := newEvacuationServer(m)
	require.Equal(t, orderAccepted, orderEvacuation(t, s, "hobart", true).Outcome, "nothing to withdraw")
	first := orderEvacuation(t, s, "hobart", false)
	require.Equal(t, orderAccepted, first.Outcome)
	require.False(t, first.RepeatedAnswer)
	resent := orderEvacuation(t, s, "hobart", false)
	require.Equal(t, orderAccepted, resent.Outcome)
	require.True(t, resent.RepeatedAnswer)
	require.Equal(t, first.Version, m.View().Version, "a resent order changes nothing")

	list, err := s.Evacuations().List(context.Background(), &apiv1.ListEvacuationsRequest{})
	require.NoError(t, err)
	require.Len(t, list.Evacuations, 1)
	listed := list.Evacuations[0]
	require.Equal(t, "hobart", listed.FailureDomain)
	require.Equal(t, "ann", listed.Operator)
	require.Equal(t, "smoke", listed.Comment)
	require.Equal(t, first.Version, listed.Version)
	require.WithinDuration(t, time.Now(), time.UnixMilli(listed.OrderedUnixMs), time.Minute)

	require.Equal(t, orderAccepted, orderEvacuation(t, s, "burnie", false).Outcome)
	require.Equal(t, []string{"burnie", "hobart"}, evacuated(m))
	require.Equal(t, orderAccepted, orderEvacuation(t, s, "hobart", true).Outcome)
	require.Equal(t, []string{"burnie"}, evacuated(m))
}

// TestOrderSurvivesALeaderChangeAndARestart: the leader changes after the order was stored and before its acknowledgement. The
// sender is not told that it is in force; sent again to an instance that has restored a snapshot on a blank disk, it is.
func TestOrderSurvivesALeaderChangeAndARestart(t *testing.T) {
	m := state.NewMachine()
	log, s := newEvacuationServer(m)
	log.loseNext = true
	require.Equal(t, orderUnknown, orderEvacuation(t, s, "hobart", false).Outcome)
	snapshot, err := m.Snapshot()
	require.NoError(t, err)

	restored := state.NewMachine()
	require.NoError(t, restored.Restore(snapshot))
	log, s = newEvacuationServer(restored)
	resent := orderEvacuation(t, s, "hobart", false)
	require.Equal(t, orderAccepted, resent.Outcome)
	require.True(t, resent.RepeatedAnswer)
	require.Zero(t, log.proposals)
	require.Equal(t, []string{"hobart"}, evacuated(restored))
}

// TestOrderIsNotAcknowledgedWithoutACurrentView: an instance behind a cut may hold an evacuation that was withdrawn since.
func TestOrderIsNotAcknowledgedWithoutACurrentView(t *testing.T) {
	m := state.NewMachine()
	log, s := newEvacuationServer(m)
	require.Equal(t, orderAccepted, orderEvacuation(t, s, "hobart", false).Outcome)
	log.failReads = true
	require.Equal(t, orderNotAccepted, orderEvacuation(t, s, "hobart", false).Outcome)
}

// Load pattern: acknowledgements are lost, so the operator sends an order again while a slow instance still holds the first copy. The
// copy that was overtaken by the withdrawal must not evacuate the failure domain again.
func TestOvertakenOrderDoesNotUndoALaterOne(t *testing.T) {
	m := state.NewMachine()
	slowLog, slow := newEvacuationServer(m)
	_, quick := newEvacuationServer(m)
	slowLog.beforeNext = func() {
		require.Equal(t, orderAccepted, orderEvacuation(t, quick, "hobart", false).Outcome)
		require.Equal(t, orderAccepted, orderEvacuation(t, quick, "hobart", true).Outcome)
	}
	require.Equal(t, orderConflict, orderEvacuation(t, slow, "hobart", false).Outcome)
	require.Empty(t, evacuated(m))

	slowLog.beforeNext = func() { orderEvacuation(t, quick, "hobart", false) }
	same := orderEvacuation(t, slow, "hobart", false)
	require.Equal(t, orderAccepted, same.Outcome, "the copy that was sent again has done the same")
	require.Equal(t, []string{"hobart"}, evacuated(m))
}

// TestOrderIsRepeatedAfterAnotherChangeOfTheBranch: only orders compete with orders.
func TestOrderIsRepeatedAfterAnotherChangeOfTheBranch(t *testing.T) {
	m := state.NewMachine()
	log, s := newEvacuationServer(m)
	log.beforeNext = func() {
		edit := &apiv1.EditRequest{EditId: "e", Branches: []*apiv1.BranchEdit{{Path: "/sites/hobart", Changes: []*apiv1.Change{{Key: tree.KeyCallTimeout, Value: "3s"}}}}}
		answer, err := s.Edit(context.Background(), edit)
		require.NoError(t, err)
		require.Equal(t, orderAccepted, answer.Outcome)
	}
	require.Equal(t, orderAccepted, orderEvacuation(t, s, "hobart", false).Outcome)
	require.Equal(t, []string{"hobart"}, evacuated(m))
	timeout, _ := m.View().Tree.Branch(tree.Path{Level: tree.LevelSite, Site: "hobart"}).Get(tree.KeyCallTimeout)
	require.Equal(t, "3s", timeout)
}

// TestUnknownFailureDomainIsRefused: a typo must not be acknowledged. A process that has just started does not know all members yet
// and says so; a failure domain whose members are gone stays known.
func TestUnknownFailureDomainIsRefused(t *testing.T) {
	m := state.NewMachine()
	_, s := newEvacuationServer(m)
	for _, domain := range []string{"", "Hobart", "a/b", "hobart/services/x"} {
		require.Equal(t, orderInvalid, orderEvacuation(t, s, domain, false).Outcome, domain)
	}
	require.Equal(t, orderNotAccepted, orderEvacuation(t, s, "hobrat", false).Outcome)
	now := s.started.Add(domainLearnTime)
	s.now = func() time.Time { return now }
	require.Equal(t, orderInvalid, orderEvacuation(t, s, "hobrat", false).Outcome)
	require.Equal(t, orderInvalid, orderEvacuation(t, s, "hobrat", true).Outcome)

	s.members.Renew(&apiv1.RenewRequest{Node: &apiv1.NodeInfo{Instance: "n", FailureDomain: "devonport", ControlAddr: "127.0.0.1:1", Incarnation: 1, Revision: 1}}, &apiv1.RenewResponse{}, now)
	s.learnDomains()
	now = now.Add(time.Hour)
	s.members.Expire(now)
	require.Equal(t, orderAccepted, orderEvacuation(t, s, "devonport", false).Outcome)
	require.Equal(t, []string{"devonport"}, evacuated(m))

	configured := New(Options{Instance: "c0", Log: &fakeLog{machine: m}, Machine: m, FailureDomains: []string{"launceston"}, Logger: zerolog.Nop()})
	require.Equal(t, orderAccepted, orderEvacuation(t, configured, "launceston", false).Outcome, "cut off since before the start of this process")
}

// TestEvacuationSurvivesDocumentsAndReverts: whole documents and reverts replace settings, not orders.
func TestEvacuationSurvivesDocumentsAndReverts(t *testing.T) {
	m := state.NewMachine()
	_, s := newEvacuationServer(m)
	publish := func(number, base uint64) {
		body, err := state.PackBody(&apiv1.DocumentBody{Branches: []*apiv1.Branch{{Path: "/services/rota"}}})
		require.NoError(t, err)
		response, err := s.Publish(context.Background(), &apiv1.PublishRequest{Number: number, BaseNumber: base, PackedBody: body})
		require.NoError(t, err)
		require.Equal(t, apiv1.PublishOutcome_PUBLISH_OUTCOME_ACCEPTED, response.Outcome)
	}
	revert := func(to uint64) {
		response, err := s.Revert(context.Background(), &apiv1.RevertRequest{EditId: time.Now().String(), ToVersion: to, BaseVersion: m.View().Version})
		require.NoError(t, err)
		require.Equal(t, orderAccepted, response.Outcome, response)
	}
	publish(1, 0)
	before := m.View().Version
	require.Equal(t, orderAccepted, orderEvacuation(t, s, "hobart", false).Outcome)
	during := m.View().Version
	publish(2, 1)
	require.Equal(t, []string{"hobart"}, evacuated(m))
	edit := &apiv1.EditRequest{EditId: "e", Branches: []*apiv1.BranchEdit{{Path: "/", Changes: []*apiv1.Change{{Key: tree.KeyCallTimeout, Value: "3s"}}}}}
	_, err := s.Edit(context.Background(), edit)
	require.NoError(t, err)
	revert(before)
	require.Equal(t, []string{"hobart"}, evacuated(m))
	require.Equal(t, orderAccepted, orderEvacuation(t, s, "hobart", true).Outcome)
	edit = proto.Clone(edit).(*apiv1.EditRequest)
	edit.EditId, edit.Branches[0].BaseVersion = "f", m.View().Tree.Branch(tree.Path{}).Version
	edit.Branches[0].Changes[0].Value = "4s"
	_, err = s.Edit(context.Background(), edit)
	require.NoError(t, err)
	revert(during)
	require.Empty(t, evacuated(m), "a withdrawn evacuation does not return either")
}
