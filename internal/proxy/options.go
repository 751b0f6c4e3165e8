package proxy

import (
	"time"

	"github.com/rs/zerolog"

	"samphireflow/internal/routing"
)

// Recorder takes the outcomes of calls. It must be safe for use by many goroutines.
type Recorder interface {
	Record(service, version, route string, ok, broken bool, duration time.Duration)
}

// Options are what a proxy is made of.
type Options struct {
	// Instance is the name of this node.
	Instance string
	// Table returns the routing table in force, nil before the first.
	Table    func() *routing.Table
	Recorder Recorder
	// Claims gives permission to run keyed calls; nil refuses them.
	Claims Claims
	// Suspects may be nil.
	Suspects Suspects
	Logger   zerolog.Logger
	// Now is the clock; nil for time.Now.
	Now func() time.Time
}
