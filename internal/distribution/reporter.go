package distribution

import (
	"context"

	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/outcome"
)

// Reporter sends sums of outcomes to one receiver, each under a number of its own. A report whose answer was lost
// is sent again under the same number, so that the receiver counts it once; what is counted meanwhile waits. It
// belongs to one goroutine, but for Add.
type Reporter struct {
	sum *outcome.Aggregator
	// head names the sender in each report.
	head    *apiv1.ReportRequest
	seq     uint64
	pending *apiv1.ReportRequest
}

// NewReporter returns a reporter for a sum. The head names the sender: its instance, failure domain and process.
func NewReporter(sum *outcome.Aggregator, head *apiv1.ReportRequest) *Reporter {
	return &Reporter{sum: sum, head: head}
}

// Add counts what another process has summed.
func (r *Reporter) Add(outcomes []*apiv1.OutcomeCount) {
	r.sum.Add(outcomes)
}

// Send sends what has been summed, or again what was not answered. Errors are those of the receiver.
func (r *Reporter) Send(ctx context.Context, to apiv1.Distribution) error {
	if r.pending == nil {
		r.pending = r.next()
	}
	if r.pending == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if _, err := to.Report(ctx, r.pending); err != nil {
		return err
	}
	r.pending = nil
	return nil
}

func (r *Reporter) next() *apiv1.ReportRequest {
	outcomes := r.sum.Take()
	if len(outcomes) == 0 {
		return nil
	}
	r.seq++
	request := proto.Clone(r.head).(*apiv1.ReportRequest)
	request.Seq = r.seq
	request.Outcomes = outcomes
	return request
}

// Forget drops a report whose answer was lost, when the receiver is given up for another one: that one could not
// tell a repetition, and an outcome that is missing misleads less than one that is counted twice.
func (r *Reporter) Forget() {
	r.pending = nil
}
