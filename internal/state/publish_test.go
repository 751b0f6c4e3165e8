package state

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/packed"
	"samphireflow/internal/tree"
)

// route returns a route of a service that matches a prefix on host "h".
func route(service, name, prefix string, more ...*apiv1.Setting) *apiv1.Branch {
	return &apiv1.Branch{Path: "/services/" + service + "/routes/" + name, Settings: append([]*apiv1.Setting{
		{Key: tree.KeyRouteHost, Value: "h"}, {Key: tree.KeyRoutePrefix, Value: prefix},
	}, more...)}
}

// document returns the request that publishes a document. The content stands for the bytes that the operator sent.
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

// documentInForce returns the number and the content of the document in force.
func documentInForce(t *testing.T, m *Machine) (uint64, string) {
	content, err := packed.Unpack(m.View().Document().GetPackedContent())
	require.NoError(t, err)
	return m.View().Document().GetNumber(), string(content)
}

// TestOneOfTwoDocumentsOnSameBaseIsAccepted publishes documents of two operators on the same base. The second one must be
// refused as a conflict, also when it is retried, and must not change the tree.
func TestOneOfTwoDocumentsOnSameBaseIsAccepted(t *testing.T) {
	m := NewMachine()
	require.Equal(t, accepted, publish(t, m, document(t, 4, 0, "first")).Outcome)
	require.Equal(t, accepted, publish(t, m, document(t, 7, 4, "one", route("rota", "a", "/a/"))).Outcome)
	for range 2 {
		require.Equal(t, conflict, publish(t, m, document(t, 7, 4, "other", route("rota", "b", "/b/"))).Outcome)
	}
	number, content := documentInForce(t, m)
	require.EqualValues(t, 7, number)
	require.Equal(t, "one", content)
	require.Nil(t, m.View().Tree.Branch(tree.Path{Level: tree.LevelRoute, Service: "rota", Route: "b"}))
}

// TestAcceptedDocumentIsAlwaysAnsweredAsAccepted retries a document after another one has replaced it, also after a
// restart from a snapshot. The retry must be answered as accepted and must change nothing.
func TestAcceptedDocumentIsAlwaysAnsweredAsAccepted(t *testing.T) {
	m := NewMachine()
	first := document(t, 4, 0, "first")
	require.Equal(t, accepted, publish(t, m, first).Outcome)
	require.Equal(t, accepted, publish(t, m, document(t, 9, 4, "second")).Outcome)
	snapshot, err := m.Snapshot()
	require.NoError(t, err)
	restarted := NewMachine()
	require.NoError(t, restarted.Restore(snapshot))
	for _, machine := range []*Machine{m, restarted} {
		version := machine.View().Version
		response := publish(t, machine, first)
		require.Equal(t, accepted, response.Outcome)
		require.True(t, response.RepeatedAnswer)
		require.Equal(t, version, machine.View().Version, "a retry changes nothing")
		number, content := documentInForce(t, machine)
		require.EqualValues(t, 9, number)
		require.Equal(t, "second", content)
		require.Equal(t, conflict, publish(t, machine, document(t, 4, 0, "another first")).Outcome)
	}
}

func TestInvalidDocumentsAreRefused(t *testing.T) {
	for name, request := range map[string]*apiv1.PublishRequest{
		"an older number":                     document(t, 3, 4, "x"),
		"the same number":                     document(t, 4, 4, "x"),
		"a split to an unknown service":       document(t, 5, 4, "x", route("rota", "a", "/a/", &apiv1.Setting{Key: tree.KeyRouteSplit, Value: "rota=1,none=1"})),
		"a route of an unknown service":       document(t, 5, 4, "x", route("none", "a", "/a/")),
		"two routes with one host and prefix": document(t, 5, 4, "x", route("rota", "a", "/a/"), route("rota", "b", "/a/")),
		"a prefix without slash":              document(t, 5, 4, "x", route("rota", "a", "a/")),
		"a timeout above the limit":           document(t, 5, 4, "x", route("rota", "a", "/a/", &apiv1.Setting{Key: tree.KeyCallTimeout, Value: "601s"})),
		"no weight above zero":                document(t, 5, 4, "x", route("rota", "a", "/a/", &apiv1.Setting{Key: tree.KeyRouteSplit, Value: "rota=0"})),
		"bytes that are not a document":       {Number: 5, BaseNumber: 4, PackedBody: []byte{9, 9}},
	} {
		m := NewMachine()
		require.Equal(t, accepted, publish(t, m, document(t, 4, 0, "first")).Outcome)
		require.Equal(t, invalid, publish(t, m, request).Outcome, name)
		number, content := documentInForce(t, m)
		require.EqualValues(t, 4, number, name)
		require.Equal(t, "first", content, name)
	}
}

// TestDocumentReplacesOnlyServices checks that a document keeps the settings that operators made elsewhere in the tree,
// and the versions of services.
func TestDocumentReplacesOnlyServices(t *testing.T) {
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

// TestResentMoveIsStartedOnce retries a resendable request while its move is active and shortly after the move was rolled
// back. Neither retry may start another move; the same request a minute later must.
func TestResentMoveIsStartedOnce(t *testing.T) {
	m := NewMachine()
	publish(t, m, document(t, 1, 0, "first"))
	m.adopt(&apiv1.AdoptVersion{Service: "rota", Version: "v1"}, 1)
	startMove := func(id string, now int64) *apiv1.MoveResponse {
		return m.startMove(&apiv1.StartMoveRequest{MoveId: id, Service: "rota", ToVersion: "v2", DurationMs: 12000, Resendable: true, WholeIsTheGoal: true}, now, 1)
	}
	first := startMove("m1", 1000)
	require.Equal(t, apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED, first.Outcome)
	require.EqualValues(t, 13000, first.Move.DeadlineUnixMs)
	again := startMove("m2", 3000)
	require.Equal(t, apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED, again.Outcome)
	require.Equal(t, "m1", again.Move.Id)
	rolledBack := m.stepMove(&apiv1.StepMove{MoveId: "m1", Revision: 1, State: apiv1.MoveState_MOVE_STATE_TAKEN_BACK}, 4000, 1)
	require.Equal(t, apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED, rolledBack.Outcome)
	require.Equal(t, "m1", startMove("m3", 5000).Move.Id, "a retry shortly after the end")
	require.Equal(t, "m4", startMove("m4", 60000).Move.Id, "a new request later")
}
