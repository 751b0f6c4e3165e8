package state

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/packed"
	"samphireflow/internal/tree"
)

// route is a route by host and prefix of a service.
func route(service, name, prefix string, more ...*apiv1.Setting) *apiv1.Branch {
	return &apiv1.Branch{Path: "/services/" + service + "/routes/" + name, Settings: append([]*apiv1.Setting{
		{Key: tree.KeyRouteHost, Value: "h"}, {Key: tree.KeyRoutePrefix, Value: prefix},
	}, more...)}
}

// document is the request for a document; its content stands for what the operator sent.
func document(t *testing.T, number, base uint64, content string, branches ...*apiv1.Branch) *apiv1.PublishRequest {
	body, err := PackBody(&apiv1.DocumentBody{Content: []byte(content), Branches: append([]*apiv1.Branch{{Path: "/services/rota"}}, branches...)})
	require.NoError(t, err)
	return &apiv1.PublishRequest{Number: number, BaseNumber: base, PackedBody: body}
}

func publish(t *testing.T, m *Machine, request *apiv1.PublishRequest) *apiv1.PublishResponse {
	data, err := proto.Marshal(&apiv1.Command{Kind: &apiv1.Command_Publish{Publish: request}})
	require.NoError(t, err)
	result := &apiv1.CommandResult{}
	require.NoError(t, proto.Unmarshal(m.Apply(1, 1, data), result))
	return result.Publish
}

const (
	accepted = apiv1.PublishOutcome_PUBLISH_OUTCOME_ACCEPTED
	conflict = apiv1.PublishOutcome_PUBLISH_OUTCOME_CONFLICT
	invalid  = apiv1.PublishOutcome_PUBLISH_OUTCOME_INVALID
)

func inForce(t *testing.T, m *Machine) (uint64, string) {
	content, err := packed.Unpack(m.View().Document().GetPackedContent())
	require.NoError(t, err)
	return m.View().Document().GetNumber(), string(content)
}

// TestOneOfTwoDocumentsOnOneNumber races two operators: the loser stays out of force, also when it is sent again.
func TestOneOfTwoDocumentsOnOneNumber(t *testing.T) {
	m := NewMachine()
	require.Equal(t, accepted, publish(t, m, document(t, 4, 0, "first")).Outcome)
	require.Equal(t, accepted, publish(t, m, document(t, 7, 4, "one", route("rota", "a", "/a/"))).Outcome)
	for range 2 {
		require.Equal(t, conflict, publish(t, m, document(t, 7, 4, "other", route("rota", "b", "/b/"))).Outcome)
	}
	number, content := inForce(t, m)
	require.EqualValues(t, 7, number)
	require.Equal(t, "one", content)
	require.Nil(t, m.View().Tree.Branch(tree.Path{Level: tree.LevelRoute, Service: "rota", Route: "b"}))
}

// TestAcceptedIsAnsweredForGood sends a document again after others have taken its place and after a restart from a
// snapshot.
func TestAcceptedIsAnsweredForGood(t *testing.T) {
	m := NewMachine()
	first := document(t, 4, 0, "first")
	require.Equal(t, accepted, publish(t, m, first).Outcome)
	require.Equal(t, accepted, publish(t, m, document(t, 9, 4, "second")).Outcome)
	image, err := m.Snapshot()
	require.NoError(t, err)
	restarted := NewMachine()
	require.NoError(t, restarted.Restore(image))
	for _, machine := range []*Machine{m, restarted} {
		version := machine.View().Version
		response := publish(t, machine, first)
		require.Equal(t, accepted, response.Outcome)
		require.True(t, response.RepeatedAnswer)
		require.Equal(t, version, machine.View().Version, "a resend changes nothing")
		number, content := inForce(t, machine)
		require.EqualValues(t, 9, number)
		require.Equal(t, "second", content)
		require.Equal(t, conflict, publish(t, machine, document(t, 4, 0, "another first")).Outcome)
	}
}

func TestInvalidDocumentsAreNotInForce(t *testing.T) {
	for name, request := range map[string]*apiv1.PublishRequest{
		"an older number":         document(t, 3, 4, "x"),
		"the same number":         document(t, 4, 4, "x"),
		"an unknown service":      document(t, 5, 4, "x", route("rota", "a", "/a/", &apiv1.Setting{Key: tree.KeyRouteSplit, Value: "rota=1,none=1"})),
		"a route of none":         document(t, 5, 4, "x", route("none", "a", "/a/")),
		"two routes at one place": document(t, 5, 4, "x", route("rota", "a", "/a/"), route("rota", "b", "/a/")),
		"a prefix without slash":  document(t, 5, 4, "x", route("rota", "a", "a/")),
		"an endless timeout":      document(t, 5, 4, "x", route("rota", "a", "/a/", &apiv1.Setting{Key: tree.KeyCallTimeout, Value: "601s"})),
		"weights of nothing":      document(t, 5, 4, "x", route("rota", "a", "/a/", &apiv1.Setting{Key: tree.KeyRouteSplit, Value: "rota=0"})),
		"bytes that are no body":  {Number: 5, BaseNumber: 4, PackedBody: []byte{9, 9}},
	} {
		m := NewMachine()
		require.Equal(t, accepted, publish(t, m, document(t, 4, 0, "first")).Outcome)
		require.Equal(t, invalid, publish(t, m, request).Outcome, name)
		number, content := inForce(t, m)
		require.EqualValues(t, 4, number, name)
		require.Equal(t, "first", content, name)
	}
}

// TestDocumentReplacesServicesOnly keeps what operators have set elsewhere in the tree, and the versions of services.
func TestDocumentReplacesServicesOnly(t *testing.T) {
	m := NewMachine()
	publish(t, m, document(t, 1, 0, "first", route("rota", "a", "/a/"), route("rota", "b", "/b/")))
	site := m.edit(&apiv1.EditRequest{EditId: "e", Branches: []*apiv1.BranchEdit{{Path: "/sites/hobart", Changes: []*apiv1.Change{{Key: tree.KeyCallTimeout, Value: "3s"}}}}}, 0, 1)
	require.Equal(t, apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED, site.Outcome)
	require.Equal(t, apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED, m.adopt(&apiv1.AdoptVersion{Service: "rota", Version: "v1"}, 1).Outcome)
	require.Equal(t, apiv1.EditOutcome_EDIT_OUTCOME_CONFLICT, m.adopt(&apiv1.AdoptVersion{Service: "rota", Version: "v2"}, 1).Outcome)
	require.Equal(t, accepted, publish(t, m, document(t, 2, 1, "second", route("rota", "b", "/c/"))).Outcome)
	view := m.View()
	require.NotNil(t, view.Tree.Branch(tree.Path{Level: tree.LevelSite, Site: "hobart"}))
	require.Nil(t, view.Tree.Branch(tree.Path{Level: tree.LevelRoute, Service: "rota", Route: "a"}))
	prefix, _ := view.Tree.Branch(tree.Path{Level: tree.LevelRoute, Service: "rota", Route: "b"}).Get(tree.KeyRoutePrefix)
	require.Equal(t, "/c/", prefix)
	require.Equal(t, "v1", view.ServiceVersion("rota"))
}

// TestResentMoveIsStartedOnce sends an order without an ID twice, and once more after it was taken back.
func TestResentMoveIsStartedOnce(t *testing.T) {
	m := NewMachine()
	publish(t, m, document(t, 1, 0, "first"))
	m.adopt(&apiv1.AdoptVersion{Service: "rota", Version: "v1"}, 1)
	order := func(id string, now int64) *apiv1.MoveResponse {
		return m.startMove(&apiv1.StartMoveRequest{MoveId: id, Service: "rota", ToVersion: "v2", DurationMs: 12000, Resendable: true, WholeIsTheGoal: true}, now, 1)
	}
	first := order("m1", 1000)
	require.Equal(t, apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED, first.Outcome)
	require.EqualValues(t, 13000, first.Move.DeadlineUnixMs)
	again := order("m2", 3000)
	require.Equal(t, apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED, again.Outcome)
	require.Equal(t, "m1", again.Move.Id)
	back := m.stepMove(&apiv1.StepMove{MoveId: "m1", Revision: 1, State: apiv1.MoveState_MOVE_STATE_TAKEN_BACK}, 4000, 1)
	require.Equal(t, apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED, back.Outcome)
	require.Equal(t, "m1", order("m3", 5000).Move.Id, "a resend shortly after the end")
	require.Equal(t, "m4", order("m4", 60000).Move.Id, "a new order later")
}
