package daemon

import (
	"github.com/prometheus/client_golang/prometheus/collectors"

	"samphireflow/internal/metrics"
)

// registerMetrics registers the metrics of the process and of its roles.
func (d *Daemon) registerMetrics() {
	d.registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		d.rpcBytes,
	)
	if d.control != nil {
		d.registry.MustRegister(metrics.NewControl(metrics.ControlSource{
			Log:     d.replica.Status,
			View:    d.machine.View,
			Members: d.control.CountMembers,
			Serving: d.control.ServingTotals,
		}))
	}
	if d.node != nil {
		d.registry.MustRegister(metrics.NewNode(d.node), metrics.NewRelay(d.node.RelayStatus))
	}
}
