package node

import (
	"context"
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/periodic"
)

// reportLoop sends the outcomes of calls on their way to the control group.
func (n *Node) reportLoop(ctx context.Context) error {
	if n.options.Direct {
		return n.reportDirectly(ctx)
	}
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	from, _ := n.selector.choice()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		to, _ := n.selector.choice()
		if to != from {
			n.outcomesUp.DiscardPending()
			from = to
		}
		if err := n.outcomesUp.Send(ctx, to.Distribution); err != nil {
			n.options.Logger.Debug().Err(err).Str("upstream", to.Addr).Msg("report failed")
		}
	}
}

// reportDirectly sends the outcomes of services with a running move to every control instance, so that whichever leads
// has all the evidence, and a new leader too. Other outcomes are of no use to them and are dropped.
func (n *Node) reportDirectly(ctx context.Context) error {
	return periodic.Run(ctx, directReportInterval, func(time.Time) {
		n.reportSeq++
		request := &apiv1.ReportRequest{
			Instance:      n.options.Instance,
			FailureDomain: n.options.FailureDomain,
			ProcessId:     n.incarnation,
			Seq:           n.reportSeq,
			Outcomes:      n.ofRunningMoves(n.outcomes.Take()),
		}
		if len(request.Outcomes) == 0 {
			return
		}
		for _, addr := range n.selector.controls() {
			go n.reportTo(ctx, addr, request)
		}
	})
}

func (n *Node) reportTo(ctx context.Context, addr string, request *apiv1.ReportRequest) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	if _, err := n.dial(addr).Distribution.Report(ctx, request); err != nil {
		n.options.Logger.Debug().Err(err).Str("upstream", addr).Msg("report failed")
	}
}

// ofRunningMoves keeps the outcomes that a running move is judged by.
func (n *Node) ofRunningMoves(outcomes []*apiv1.OutcomeCount) []*apiv1.OutcomeCount {
	moving := map[string]bool{}
	for _, service := range n.Status().Snapshot.GetServices() {
		if service.MoveId != "" {
			moving[service.Name] = true
		}
	}
	var kept []*apiv1.OutcomeCount
	for _, one := range outcomes {
		if moving[one.Service] {
			kept = append(kept, one)
		}
	}
	return kept
}
