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

// lossyReceiver counts outcomes once, as a relay does, and loses the answers that a test asks for.
type lossyReceiver struct {
	apiv1.Distribution
	filter *ReportFilter
	sum    *outcome.Aggregator
	lose   bool
}

func (r *lossyReceiver) Report(_ context.Context, request *apiv1.ReportRequest) (*apiv1.ReportResponse, error) {
	if r.filter.First(request) {
		r.sum.Add(request.Outcomes)
	}
	if r.lose {
		return nil, errors.New("the answer is lost")
	}
	return &apiv1.ReportResponse{}, nil
}

func TestReportWhoseAnswerWasLostCountsOnce(t *testing.T) {
	sum := outcome.NewAggregator("north")
	reporter := NewReporter(sum, &apiv1.ReportRequest{Instance: "n", ProcessId: 1})
	receiver := &lossyReceiver{filter: NewReportFilter(), sum: outcome.NewAggregator(""), lose: true}
	sum.Record("rota", "v1", "read", true, false, time.Millisecond)
	require.Error(t, reporter.Send(context.Background(), receiver))
	sum.Record("rota", "v1", "read", true, false, time.Millisecond)
	require.Error(t, reporter.Send(context.Background(), receiver))
	receiver.lose = false
	require.NoError(t, reporter.Send(context.Background(), receiver))
	require.NoError(t, reporter.Send(context.Background(), receiver))
	counted := receiver.sum.Take()
	require.Len(t, counted, 1)
	require.EqualValues(t, 2, counted[0].Ok)
}
