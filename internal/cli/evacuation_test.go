package cli

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
)

// fakeEvacuations is a control instance that answers orders with the given outcomes, one after the other, and keeps the orders.
type fakeEvacuations struct {
	outcomes []apiv1.EditOutcome
	orders   []*apiv1.OrderEvacuationRequest
}

func (f *fakeEvacuations) Order(_ context.Context, request *apiv1.OrderEvacuationRequest) (*apiv1.OrderEvacuationResponse, error) {
	f.orders = append(f.orders, request)
	outcome := f.outcomes[min(len(f.orders), len(f.outcomes))-1]
	return &apiv1.OrderEvacuationResponse{Outcome: outcome, Version: 7, RepeatedAnswer: len(f.orders) > 1, Detail: "because"}, nil
}

func (f *fakeEvacuations) List(context.Context, *apiv1.ListEvacuationsRequest) (*apiv1.ListEvacuationsResponse, error) {
	return &apiv1.ListEvacuationsResponse{
		Evacuations: []*apiv1.Evacuation{{FailureDomain: "hobart", Operator: "ann", Version: 7, OrderedUnixMs: 1_700_000_000_000, Comment: "power"}},
		Freshness:   &apiv1.ReadFreshness{Linearizable: true},
	}, nil
}

func startEvacuations(t *testing.T, outcomes ...apiv1.EditOutcome) *fakeEvacuations {
	fake := &fakeEvacuations{outcomes: outcomes}
	mux := http.NewServeMux()
	mux.Handle(apiv1.EvacuationsPathPrefix, apiv1.NewEvacuationsServer(fake))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	t.Setenv("SAMPHIREFLOW_CONTROL", server.Listener.Addr().String())
	return fake
}

func TestEvacuationIsGivenUntilTheOutcomeIsKnown(t *testing.T) {
	fake := startEvacuations(t, apiv1.EditOutcome_EDIT_OUTCOME_NOT_ACCEPTED, apiv1.EditOutcome_EDIT_OUTCOME_UNKNOWN, apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED)
	got := runTool("evacuation", "give", "hobart", "--operator", "ann", "--comment", "power")
	require.Equal(t, 0, got.code, got.stderr)
	require.Contains(t, got.stdout, "in force already")
	require.Len(t, fake.orders, 3)
	require.Equal(t, "hobart", fake.orders[2].FailureDomain)
	require.Equal(t, "ann", fake.orders[2].Operator)
	require.Equal(t, "power", fake.orders[2].Comment)
	require.False(t, fake.orders[2].Withdraw)
}

func TestEvacuationIsWithdrawn(t *testing.T) {
	fake := startEvacuations(t, apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED)
	got := runTool("evacuation", "withdraw", "hobart")
	require.Equal(t, 0, got.code, got.stderr)
	require.Contains(t, got.stdout, "accepted as version 7")
	require.True(t, fake.orders[0].Withdraw)
}

func TestExitCodesOfEvacuations(t *testing.T) {
	startEvacuations(t, apiv1.EditOutcome_EDIT_OUTCOME_INVALID)
	got := runTool("evacuation", "give", "hobrat")
	require.Equal(t, int(ExitRefused), got.code)
	require.Contains(t, got.stderr, "because")
	startEvacuations(t, apiv1.EditOutcome_EDIT_OUTCOME_CONFLICT)
	require.Equal(t, int(ExitConflict), runTool("evacuation", "give", "hobart").code)
	require.Equal(t, int(ExitUsage), runTool("evacuation", "give").code)
}

func TestEvacuationsAreListed(t *testing.T) {
	startEvacuations(t)
	got := runTool("evacuation", "list")
	require.Equal(t, 0, got.code, got.stderr)
	require.Regexp(t, `hobart +ann +2023-11-14T22:13:20Z +7 +power`, got.stdout)
	require.Contains(t, runTool("--output", "json", "evacuation", "list").stdout, `"hobart"`)
}
