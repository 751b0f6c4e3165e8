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

// minCallerHeaderTimeout is the least time in which the header of a caller's request must arrive: a node that is short of
// processor time reads late.
const minCallerHeaderTimeout = 5 * time.Second

// callerHeaderTimeout returns the time in which the header of a caller's request must arrive.
func (d *Daemon) callerHeaderTimeout() time.Duration {
	if table := d.node.Table(); table != nil {
		return max(table.CallerLimits.HeaderTimeout, minCallerHeaderTimeout)
	}
	return minCallerHeaderTimeout
}

const (
	// minCallerHeaderBytes is the least length of a header that is read whole, so that a longer one than the limit is refused
	// by a response.
	minCallerHeaderBytes = 64 << 10
	// headerFraming is what the header of a request has on the network beyond what the configured limit counts, in bytes.
	headerFraming = 8 << 10
)

// callerHeaderBytes returns the longest header of a caller's request that is read.
func (d *Daemon) callerHeaderBytes() int {
	if table := d.node.Table(); table != nil {
		return max(table.CallerLimits.HeaderBytes+headerFraming, minCallerHeaderBytes)
	}
	return minCallerHeaderBytes
}

// newCallerServer returns the server of callers' connections.
func (d *Daemon) newCallerServer() *callerconn.Server {
	return callerconn.NewServer(callerconn.Options{
		Handler:        d.gatedTraffic.ingress,
		MayPipeline:    d.gatedTraffic.ingress.MayPipeline,
		MaxHeaderBytes: d.callerHeaderBytes,
		HeaderTimeout:  d.callerHeaderTimeout,
		IdleTimeout:    d.callerIdleTimeout,
		Logger:         d.logger,
		MaxKeptConns:   maxKeptCallerConnections,
	})
}
