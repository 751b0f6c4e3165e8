package ingress

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"samphireflow/internal/admission"
	"samphireflow/internal/calls"
	"samphireflow/internal/routing"
	"samphireflow/internal/suspect"
)

// Gate is the gate of the backend server on this instance; *gate.Gate implements it.
type Gate interface {
	Pass(ctx context.Context, c *calls.Call, instance string, finishBy time.Time) *calls.Result
	// RepeatedShare returns the share of retries among the latest runs at the backend server beside the gate, 0 to 1.
	RepeatedShare() float64
}

// Suspects tracks the requests that crash backend servers; *suspect.Tracker implements it.
type Suspects interface {
	// Active reports whether any request is suspect.
	Active() bool
	// Blocked reports whether a request must be refused at a version of its service.
	Blocked(request *suspect.Request, version string) bool
	// HoldLimit returns how many bytes of a long body must be read before Blocked can tell, 0 if none.
	HoldLimit(request *suspect.Request) int64
	ReportBroken(ctx context.Context, request *suspect.Request, server *routing.Server, run suspect.Run)
	ReportCompleted(request *suspect.Request, version string)
}

// Options configures an ingress.
type Options struct {
	// Instance is the name of this node. Calls to the backend server on this instance go to its gate directly.
	Instance      string
	FailureDomain string
	// Service is the service of the callers on this instance.
	Service string
	// Table returns the current routing table, nil before the first one.
	Table func() *routing.Table
	// Outdated reports whether the configuration may have changed without this node having heard of it. The node then refuses
	// calls on unknown routes and with unknown keys as not run, because it cannot tell that they are wrong. Nil means never.
	Outdated func() bool
	Gate     Gate
	Retries  RetryLimits
	Headers  calls.Headers
	Suspects Suspects
	// Admission learns from the inner calls that arrive at the ingress. It is the one of the gate; nil learns nothing.
	Admission *admission.Controller
	// Quotas counts the calls of customers; nil allows all.
	Quotas Quotas
	// Stop decides which calls are taken during a planned stop of the node; nil takes all.
	Stop    *calls.StopAdmission
	Metrics *Metrics
	Logger  zerolog.Logger
	Now     func() time.Time
	// Random returns a uniformly distributed number from 0 to 1.
	Random func() float64
}
