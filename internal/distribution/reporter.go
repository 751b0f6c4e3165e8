package distribution

import (
	"context"

	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/outcome"
)

// Reporter sends summed call outcomes to one receiver, each report with its own sequence number. A report without a
// response is sent again with the same number, so that the receiver counts it once; outcomes recorded in the meantime wait
// for the next report. Only Add is safe for concurrent use.
type Reporter struct {
	aggregator *outcome.Aggregator
	// template is a report without outcomes that identifies the sender.
	template *apiv1.ReportRequest
	seq      uint64
	pending  *apiv1.ReportRequest
}

// NewReporter returns a reporter of the outcomes that an aggregator sums. The template identifies the sender: its instance,
// failure domain and process.
func NewReporter(aggregator *outcome.Aggregator, template *apiv1.ReportRequest) *Reporter {
	return &Reporter{aggregator: aggregator, template: template}
}

// Add adds outcomes that another process has summed.
func (r *Reporter) Add(outcomes []*apiv1.OutcomeCount) {
	r.aggregator.Add(outcomes)
}

// Send sends the outcomes summed so far, or retries the last report when it got no response. It returns the error of the
// request.
func (r *Reporter) Send(ctx context.Context, to apiv1.Distribution) error {
	if r.pending == nil {
		r.pending = r.nextReport()
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

func (r *Reporter) nextReport() *apiv1.ReportRequest {
	outcomes := r.aggregator.Take()
	if len(outcomes) == 0 {
		return nil
	}
	r.seq++
	request := proto.Clone(r.template).(*apiv1.ReportRequest)
	request.Seq = r.seq
	request.Outcomes = outcomes
	return request
}

// DiscardPending drops a report without a response. It must be called before switching to another receiver, which could
// not detect the repetition: a missing outcome is less misleading than one that is counted twice.
func (r *Reporter) DiscardPending() {
	r.pending = nil
}
