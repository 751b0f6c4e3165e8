package daemon

import (
	"time"

	"samphireflow/internal/callerconn"
)

// defaultCallersIdle is the time after which an idle connection of a caller is closed before there is a configuration.
const defaultCallersIdle = 15 * time.Second

// maxKeptCallers is the number of callers' connections beyond which none is kept: callers that are refused come back on
// new connections, and leave the old ones open. It is a quarter of the descriptors that a process commonly has.
const maxKeptCallers = 1000

// callersIdle is the time that idle connections of callers are kept, as the configuration says.
func (d *Daemon) callersIdle() time.Duration {
	if table := d.node.Table(); table != nil && table.CallerLimits.IdleTimeout > 0 {
		return table.CallerLimits.IdleTimeout
	}
	return defaultCallersIdle
}

// callerHeaderTime is the time in which the header of a caller's request must arrive.
const callerHeaderTime = 5 * time.Second

// newCallers returns the server of the callers' connections.
func (d *Daemon) newCallers() *callerconn.Server {
	return callerconn.NewServer(callerconn.Options{
		Handler:        d.gated.ingress,
		MayPipeline:    d.gated.ingress.MayPipeline,
		MaxHeaderBytes: maxHeaderBytes,
		HeaderTimeout:  callerHeaderTime,
		IdleTimeout:    d.callersIdle,
		Logger:         d.logger,
		MaxKeptConns:   maxKeptCallers,
	})
}
