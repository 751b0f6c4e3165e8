package daemon

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"samphireflow/internal/periodic"
	"samphireflow/internal/rpcbytes"
)

// trafficLogInterval is the time between two log lines with the traffic of a control instance.
const trafficLogInterval = 10 * time.Second

// logTraffic logs the bytes at the control address since the start, by method, until ctx ends.
func (d *Daemon) logTraffic(ctx context.Context) error {
	return periodic.Run(ctx, trafficLogInterval, func(time.Time) {
		d.logger.Info().Dict("bytes", trafficDict(d.rpcBytes.Totals())).Msg("traffic at the control address since the start")
	})
}

func trafficDict(totals map[string]rpcbytes.Traffic) *zerolog.Event {
	dict := zerolog.Dict()
	for method, t := range totals {
		dict = dict.Dict(method, zerolog.Dict().Uint64("received", t.Received).Uint64("sent", t.Sent))
	}
	return dict
}
