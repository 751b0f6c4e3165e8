package distribution

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/outcome"
)

// lossyReceiver counts each report once, as a relay does. It loses its responses while loseResponse is set.
type lossyReceiver struct {
	apiv1.Distribution
	deduplicator *ReportDeduplicator
	aggregator   *outcome.Aggregator
	loseResponse bool
}

func (r *lossyReceiver) Report(_ context.Context, request *apiv1.ReportRequest) (*apiv1.ReportResponse, error) {
	if r.deduplicator.IsNew(request) {
		r.aggregator.Add(request.Outcomes)
	}
	if r.loseResponse {
		return nil, errors.New("the response is lost")
	}
	return &apiv1.ReportResponse{}, nil
}

func TestRetriedReportCountsOnce(t *testing.T) {
	aggregator := outcome.NewAggregator("north")
	reporter := NewReporter(aggregator, &apiv1.ReportRequest{Instance: "n", ProcessId: 1})
	receiver := &lossyReceiver{deduplicator: NewReportDeduplicator(), aggregator: outcome.NewAggregator(""), loseResponse: true}
	aggregator.Record("rota", "v1", "read", true, false, time.Millisecond)
	require.Error(t, reporter.Send(context.Background(), receiver))
	aggregator.Record("rota", "v1", "read", true, false, time.Millisecond)
	require.Error(t, reporter.Send(context.Background(), receiver))
	receiver.loseResponse = false
	require.NoError(t, reporter.Send(context.Background(), receiver))
	require.NoError(t, reporter.Send(context.Background(), receiver))
	counted := receiver.aggregator.Take()
	require.Len(t, counted, 1)
	require.EqualValues(t, 2, counted[0].Ok)
}
