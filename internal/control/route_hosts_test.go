package control

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/state"
	"samphireflow/internal/tree"
)

const (
	documentAccepted    = apiv1.PublishOutcome_PUBLISH_OUTCOME_ACCEPTED
	documentInvalid     = apiv1.PublishOutcome_PUBLISH_OUTCOME_INVALID
	documentNotAccepted = apiv1.PublishOutcome_PUBLISH_OUTCOME_NOT_ACCEPTED
)

// placedRoute is a route of the service with its name up to the first dash.
type placedRoute struct{ name, host, prefix string }

// hostDocument returns a document with the services desk and archive and the given routes.
func hostDocument(t *testing.T, number, base uint64, routes ...placedRoute) *apiv1.PublishRequest {
	body := &apiv1.DocumentBody{Content: fmt.Appendf(nil, "%d %v", number, routes), Branches: []*apiv1.Branch{{Path: "/services/desk"}, {Path: "/services/archive"}}}
	for _, r := range routes {
		body.Branches = append(body.Branches, &apiv1.Branch{Path: "/services/" + r.name, Settings: []*apiv1.Setting{
			{Key: tree.KeyRouteHost, Value: r.host}, {Key: tree.KeyRoutePrefix, Value: r.prefix},
		}})
	}
	packed, err := state.PackBody(body)
	require.NoError(t, err)
	return &apiv1.PublishRequest{Number: number, BaseNumber: base, PackedBody: packed}
}

func publishTo(t *testing.T, s *Server, request *apiv1.PublishRequest) apiv1.PublishOutcome {
	response, err := s.Publish(context.Background(), proto.Clone(request).(*apiv1.PublishRequest))
	require.NoError(t, err)
	return response.Outcome
}

// newConfigServer returns a control instance with an empty state.
func newConfigServer() (*fakeLog, *Server) {
	machine := state.NewMachine()
	log := &fakeLog{machine: machine}
	return log, New(Options{Instance: "c0", Log: log, Machine: machine, Logger: zerolog.Nop()})
}

var bookRoute = placedRoute{"desk/routes/book", "plaza.example", "/book/"}

// TestDocumentsWithTwoRoutesAtOnePlaceAreRefused guards against a configuration in which one route takes the calls of another, because
// its host is written in another way.
func TestDocumentsWithTwoRoutesAtOnePlaceAreRefused(t *testing.T) {
	for _, host := range []string{"plaza.example", "Plaza.example", "PLAZA.EXAMPLE", "plaza.example:80", "plaza.example:8443", "plaza.example.", "plaza.Example.:80", " plaza.example"} {
		_, s := newConfigServer()
		require.Equal(t, documentAccepted, publishTo(t, s, hostDocument(t, 4, 0, bookRoute)))
		require.Equal(t, documentInvalid, publishTo(t, s, hostDocument(t, 5, 4, bookRoute, placedRoute{"archive/routes/list", host, "/book/"})), host)
		require.EqualValues(t, 4, s.options.Machine.View().Document().GetNumber(), host)
	}
	for _, host := range []string{".", ":80", " "} {
		_, s := newConfigServer()
		require.Equal(t, documentInvalid, publishTo(t, s, hostDocument(t, 4, 0, placedRoute{"desk/routes/book", host, "/book/"})), "%q names no host", host)
	}
}

// TestDocumentsWithOtherPlacesAreAccepted lists routes that only resemble each other.
func TestDocumentsWithOtherPlacesAreAccepted(t *testing.T) {
	_, s := newConfigServer()
	require.Equal(t, documentAccepted, publishTo(t, s, hostDocument(t, 4, 0, bookRoute,
		placedRoute{"archive/routes/list", "Plaza.example", "/list/"},
		placedRoute{"archive/routes/all", "plaza.example:80", "/"},
		placedRoute{"archive/routes/below", "plaza.example.", "/book/old/"},
		placedRoute{"archive/routes/case", "plaza.example", "/Book/"},
		placedRoute{"archive/routes/other", "plaza2.example", "/book/"},
		placedRoute{"archive/routes/sub", "www.plaza.example", "/book/"},
		placedRoute{"archive/routes/address", "10.0.0.8:8080", "/book/"},
	)))
}

// TestStateOfEarlierReleasesWithTwoRoutesAtOnePlace guards against an upgrade that loses or refuses what an earlier release has
// acknowledged.
func TestStateOfEarlierReleasesWithTwoRoutesAtOnePlace(t *testing.T) {
	log, s := newConfigServer()
	both := hostDocument(t, 5, 4, bookRoute, placedRoute{"archive/routes/list", "Plaza.example", "/book/"})
	// Earlier releases propose without the check.
	for _, request := range []*apiv1.PublishRequest{hostDocument(t, 4, 0, bookRoute), both} {
		_, err := s.propose(context.Background(), &apiv1.Command{Kind: &apiv1.Command_Publish{Publish: request}})
		require.NoError(t, err)
	}
	snapshot, err := log.machine.Snapshot()
	require.NoError(t, err)
	restarted := state.NewMachine()
	require.NoError(t, restarted.Restore(snapshot), "the state loads")
	s = New(Options{Instance: "c0", Log: &fakeLog{machine: restarted}, Machine: restarted, Logger: zerolog.Nop()})
	require.EqualValues(t, 5, restarted.View().Document().GetNumber())

	require.Equal(t, documentAccepted, publishTo(t, s, both), "a resend of what was acknowledged")
	require.Equal(t, documentInvalid, publishTo(t, s, hostDocument(t, 6, 5, bookRoute, placedRoute{"archive/routes/list", "Plaza.example", "/book/"})))
	edit, err := s.Edit(context.Background(), &apiv1.EditRequest{EditId: "timeout", Branches: []*apiv1.BranchEdit{{Path: "/sites/hobart", Changes: []*apiv1.Change{{Key: tree.KeyCallTimeout, Value: "3s"}}}}})
	require.NoError(t, err)
	require.Equal(t, orderAccepted, edit.Outcome, "other settings can be edited")
	require.Equal(t, documentAccepted, publishTo(t, s, hostDocument(t, 6, 5, bookRoute)), "one of the routes is removed")
	require.Equal(t, documentAccepted, publishTo(t, s, both), "also after later changes")

	failing := &fakeLog{machine: restarted, failReads: true}
	s = New(Options{Instance: "c0", Log: failing, Machine: restarted, Logger: zerolog.Nop()})
	require.Equal(t, documentNotAccepted, publishTo(t, s, both), "behind a cut it is not known what was accepted")
}

// routeEdit returns an edit that adds a route of the service archive.
func routeEdit(id, name, host, prefix string) *apiv1.EditRequest {
	return &apiv1.EditRequest{EditId: id, Branches: []*apiv1.BranchEdit{{Path: "/services/archive/routes/" + name, Changes: []*apiv1.Change{
		{Key: tree.KeyRouteHost, Value: host}, {Key: tree.KeyRoutePrefix, Value: prefix},
	}}}}
}

// TestEditsOfOneBranchCannotShareAPlace guards the same on the product's own interface, where a document changes single branches.
func TestEditsOfOneBranchCannotShareAPlace(t *testing.T) {
	_, s := newConfigServer()
	require.Equal(t, documentAccepted, publishTo(t, s, hostDocument(t, 4, 0, bookRoute)))
	edit := func(request *apiv1.EditRequest) *apiv1.EditResponse {
		response, err := s.Edit(context.Background(), request)
		require.NoError(t, err)
		return response
	}
	before := s.options.Machine.View().Version
	refused := edit(routeEdit("e1", "list", "PLAZA.example:80", "/book/"))
	require.Equal(t, orderInvalid, refused.Outcome)
	require.Len(t, refused.Faults, 1)
	require.Contains(t, refused.Faults[0].Path+refused.Faults[0].Message, "/services/archive/routes/list")
	dry := routeEdit("e2", "list", "plaza.example.", "/book/")
	dry.DryRun = true
	require.Equal(t, orderInvalid, edit(dry).Outcome)
	require.Equal(t, before, s.options.Machine.View().Version)

	accepted := edit(routeEdit("e3", "list", "Plaza.example", "/list/"))
	require.Equal(t, orderAccepted, accepted.Outcome)
	move := &apiv1.EditRequest{EditId: "e4", Branches: []*apiv1.BranchEdit{
		{Path: "/services/desk/routes/book", BaseVersion: before, Remove: true},
		{Path: "/services/archive/routes/book", Changes: []*apiv1.Change{{Key: tree.KeyRouteHost, Value: "Plaza.example"}, {Key: tree.KeyRoutePrefix, Value: "/book/"}}},
	}}
	require.Equal(t, orderAccepted, edit(move).Outcome, "a route takes the place of another one")
	require.True(t, edit(move).RepeatedAnswer)
}

// TestRevertCannotShareAPlace guards against a way back to a configuration that would not be accepted today.
func TestRevertCannotShareAPlace(t *testing.T) {
	_, s := newConfigServer()
	for _, request := range []*apiv1.PublishRequest{
		hostDocument(t, 4, 0, bookRoute, placedRoute{"archive/routes/list", "Plaza.example", "/book/"}), hostDocument(t, 5, 4, bookRoute), hostDocument(t, 6, 5),
	} {
		_, err := s.propose(context.Background(), &apiv1.Command{Kind: &apiv1.Command_Publish{Publish: request}})
		require.NoError(t, err)
	}
	newest := s.options.Machine.View().Version
	response, err := s.Revert(context.Background(), &apiv1.RevertRequest{EditId: "r1", ToVersion: newest - 2, BaseVersion: newest})
	require.NoError(t, err)
	require.Equal(t, orderInvalid, response.Outcome)
	response, err = s.Revert(context.Background(), &apiv1.RevertRequest{EditId: "r2", ToVersion: newest - 1, BaseVersion: newest})
	require.NoError(t, err)
	require.Equal(t, orderAccepted, response.Outcome)
}

// TestEditsAtOnceCannotShareAPlace guards against two edits that are both checked before either takes effect.
func TestEditsAtOnceCannotShareAPlace(t *testing.T) {
	for range 20 {
		log, s := newConfigServer()
		require.Equal(t, documentAccepted, publishTo(t, s, hostDocument(t, 4, 0)))
		log.mu = &sync.Mutex{}
		var edits sync.WaitGroup
		outcomes := make(chan apiv1.EditOutcome, 4)
		for i, host := range []string{"plaza.example", "Plaza.example", "plaza.example.", "plaza.example:80"} {
			edits.Go(func() {
				response, err := s.Edit(context.Background(), routeEdit(fmt.Sprint("e", i), fmt.Sprint("r", i), host, "/book/"))
				if err == nil {
					outcomes <- response.Outcome
				}
			})
		}
		edits.Wait()
		close(outcomes)
		counts := map[apiv1.EditOutcome]int{}
		for outcome := range outcomes {
			counts[outcome]++
		}
		require.Equal(t, map[apiv1.EditOutcome]int{orderAccepted: 1, orderInvalid: 3}, counts)
	}
}
