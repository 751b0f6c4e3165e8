package proxy

import (
	"time"

	"github.com/rs/zerolog"

	"samphireflow/internal/routing"
)

// Recorder records the results of attempts. It must be safe for concurrent use.
type Recorder interface {
	// Record records one attempt that was sent and not shed. Broken means that no whole response came although the call's
	// context had not ended.
	Record(service, version, route string, ok, broken bool, duration time.Duration)
}

// Options configures a Proxy.
type Options struct {
	// Instance is the name of this node.
	Instance string
	// Table returns the current routing table, nil before the first one.
	Table    func() *routing.Table
	Recorder Recorder
	// Claims grants permits to run calls with an idempotency key on routes that are not idempotent; if it is nil, such
	// calls are refused.
	Claims Claims
	// Suspects may be nil: then no request is blocked.
	Suspects Suspects
	Logger   zerolog.Logger
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}
