package daemon

import (
	"time"

	"samphireflow/internal/callerconn"
)

// defaultCallerIdleTimeout is the time after which an idle connection of a caller is closed while the node has no
// configuration.
const defaultCallerIdleTimeout = 15 * time.Second

// maxKeptCallerConnections is the number of callers' connections above which each response closes its connection. Refused
// callers retry on new connections and leave the old ones open, which would use up the file descriptors. The number is a
// quarter of the descriptors that a process commonly has.
const maxKeptCallerConnections = 1000

// callerIdleTimeout returns the configured time after which idle connections of callers are closed.
func (d *Daemon) callerIdleTimeout() time.Duration {
	if table := d.node.Table(); table != nil && table.CallerLimits.IdleTimeout > 0 {
		return table.CallerLimits.IdleTimeout
	}
	return defaultCallerIdleTimeout
}

// callerHeaderTimeout bounds the time in which the header of a caller's request must arrive.
const callerHeaderTimeout = 5 * time.Second

// newCallerServer returns the server of callers' connections.
func (d *Daemon) newCallerServer() *callerconn.Server {
	return callerconn.NewServer(callerconn.Options{
		Handler:        d.gatedTraffic.ingress,
		MayPipeline:    d.gatedTraffic.ingress.MayPipeline,
		MaxHeaderBytes: maxHeaderBytes,
		HeaderTimeout:  callerHeaderTimeout,
		IdleTimeout:    d.callerIdleTimeout,
		Logger:         d.logger,
		MaxKeptConns:   maxKeptCallerConnections,
	})
}
