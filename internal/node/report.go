package node

import (
	"context"
	"sync"
	"time"

	apiv1 "samphireflow/api/v1"
)

// reportLoop sends the outcomes of calls to all control instances.
func (n *Node) reportLoop(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for seq := uint64(1); ; seq++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			n.reportAll(ctx, seq)
		}
	}
}

func (n *Node) reportAll(ctx context.Context, seq uint64) {
	outcomes := n.outcomes.Take()
	if len(outcomes) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request := &apiv1.ReportRequest{
		Instance:       n.options.Instance,
		FailureDomain:  n.options.FailureDomain,
		Seq:            seq,
		ProcessId:      n.incarnation,
		Outcomes:       outcomes,
		AppliedVersion: n.Status().Snapshot.GetVersion(),
	}
	var wg sync.WaitGroup
	for _, up := range n.upstreams {
		wg.Go(func() {
			if _, err := up.distribution.Report(ctx, request); err != nil {
				n.options.Logger.Debug().Err(err).Str("upstream", up.addr).Msg("report failed")
			}
		})
	}
	wg.Wait()
}
