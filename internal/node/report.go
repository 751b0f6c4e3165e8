package node

import (
	"context"
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/periodic"
)

// reportLoop reports the outcomes of calls towards the control group.
func (n *Node) reportLoop(ctx context.Context) error {
	if n.options.Direct {
		return n.reportDirectly(ctx)
	}
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	previous, _ := n.selector.choice()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		to, _ := n.selector.choice()
		if to != previous {
			n.reporter.DiscardPending()
			previous = to
		}
		if err := n.reporter.Send(ctx, to.Distribution); err != nil {
			n.options.Logger.Debug().Err(err).Str("upstream", to.Addr).Msg("report failed")
		}
	}
}

// reportDirectly sends the outcomes of services with a running move to every control instance, so that the leader and any
// later leader have all the evidence. Other outcomes are not needed there and are dropped.
func (n *Node) reportDirectly(ctx context.Context) error {
	return periodic.Run(ctx, directReportInterval, func(time.Time) {
		n.reportSeq++
		request := &apiv1.ReportRequest{
			Instance:      n.options.Instance,
			FailureDomain: n.options.FailureDomain,
			ProcessId:     n.incarnation,
			Seq:           n.reportSeq,
			Outcomes:      n.filterByRunningMoves(n.outcomes.Take()),
		}
		if len(request.Outcomes) == 0 {
			return
		}
		for _, addr := range n.selector.controlAddrs() {
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

// filterByRunningMoves returns the outcomes of services with a running move, by which that move is judged.
func (n *Node) filterByRunningMoves(outcomes []*apiv1.OutcomeCount) []*apiv1.OutcomeCount {
	moving := map[string]bool{}
	for _, service := range n.Status().Snapshot.GetServices() {
		if service.MoveId != "" {
			moving[service.Name] = true
		}
	}
	var kept []*apiv1.OutcomeCount
	for _, count := range outcomes {
		if moving[count.Service] {
			kept = append(kept, count)
		}
	}
	return kept
}
