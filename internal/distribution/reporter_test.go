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
	filter       *ReportDeduplicator
	sum          *outcome.Aggregator
	loseResponse bool
}

func (r *lossyReceiver) Report(_ context.Context, request *apiv1.ReportRequest) (*apiv1.ReportResponse, error) {
	if r.filter.IsNew(request) {
		r.sum.Add(request.Outcomes)
	}
	if r.loseResponse {
		return nil, errors.New("the response is lost")
	}
	return &apiv1.ReportResponse{}, nil
}

func TestRetriedReportCountsOnce(t *testing.T) {
	sum := outcome.NewAggregator("north")
	reporter := NewReporter(sum, &apiv1.ReportRequest{Instance: "n", ProcessId: 1})
	receiver := &lossyReceiver{filter: NewReportDeduplicator(), sum: outcome.NewAggregator(""), loseResponse: true}
	sum.Record("rota", "v1", "read", true, false, time.Millisecond)
	require.Error(t, reporter.Send(context.Background(), receiver))
	sum.Record("rota", "v1", "read", true, false, time.Millisecond)
	require.Error(t, reporter.Send(context.Background(), receiver))
	receiver.loseResponse = false
	require.NoError(t, reporter.Send(context.Background(), receiver))
	require.NoError(t, reporter.Send(context.Background(), receiver))
	counted := receiver.sum.Take()
	require.Len(t, counted, 1)
	require.EqualValues(t, 2, counted[0].Ok)
}
