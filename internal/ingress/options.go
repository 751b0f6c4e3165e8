package ingress

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"samphireflow/internal/calls"
	"samphireflow/internal/routing"
	"samphireflow/internal/suspect"
)

// Gate is the gate beside the backend server on this instance; *gate.Gate is one.
type Gate interface {
	Pass(ctx context.Context, c *calls.Call, instance string, patience time.Time) *calls.Result
}

// Suspects knows the requests that crash backend servers; *suspect.Watch is one.
type Suspects interface {
	Active() bool
	Condemned(service string, fingerprint suspect.Fingerprint) bool
	Broken(ctx context.Context, service string, fingerprint suspect.Fingerprint, server *routing.Server)
	Completed(service string, fingerprint suspect.Fingerprint)
}

// Options are what an ingress is made of.
type Options struct {
	// Instance is the name of this node; calls to the backend server beside it need no hop.
	Instance      string
	FailureDomain string
	// Service is the service that the callers on this instance belong to.
	Service string
	// Table returns the routing table in force, nil before the first one.
	Table    func() *routing.Table
	Gate     Gate
	Headers  calls.Headers
	Suspects Suspects
	Metrics  *Metrics
	Logger   zerolog.Logger
	Now      func() time.Time
	// Random returns an evenly distributed number from 0 to 1.
	Random func() float64
}
