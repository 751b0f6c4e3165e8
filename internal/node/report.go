package node

import (
	"context"
	"time"
)

// reportLoop sends the outcomes of calls on their way to the control group.
func (n *Node) reportLoop(ctx context.Context) error {
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
			n.outcomesUp.Forget()
			from = to
		}
		if err := n.outcomesUp.Send(ctx, to.Distribution); err != nil {
			n.options.Logger.Debug().Err(err).Str("upstream", to.Addr).Msg("report failed")
		}
	}
}
