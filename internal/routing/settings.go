package routing

import (
	"strconv"
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/balance"
	"samphireflow/internal/tree"
)

// RouteSettings are the parsed settings of a route.
type RouteSettings struct {
	CallTimeout    time.Duration
	RetryLimit     int
	RetryBudget    float64
	ClaimRetention time.Duration
	// Objective is the latency objective of a call.
	Objective time.Duration
	// Attempts is the largest number of backend servers that a call may be sent to.
	Attempts int
	// Priority ranks calls when there is no room for all, 0 first.
	Priority int
	// Public is set if a call needs no key.
	Public bool
	// LongResponses is set if responses are so long that the link of an instance limits the calls.
	LongResponses bool
	// Split holds the services that share the calls. It is empty when all calls go to the service of the route.
	Split tree.Split
}

// ServiceSettings are the parsed settings of a service.
type ServiceSettings struct {
	Balance balance.Policy
	// QueueLength is the number of calls that may wait at a node.
	QueueLength int
	// CallerShare is the share of the queue that one caller may occupy.
	CallerShare  float64
	DrainTimeout time.Duration
	// ColdStart is the time for which a backend server is cold after its start, and ColdRate the number of calls per second
	// that a cold one can take; 0 means that there is no limit.
	ColdStart time.Duration
	ColdRate  float64
	// ErrorMargin and LatencyRatio are the rise of the error rate and the ratio of the call durations, new version to old,
	// at which a new version counts as bad.
	ErrorMargin  float64
	LatencyRatio float64
}

// values holds settings by key. The schema has validated them before, so a value that cannot be parsed is read as zero.
type values map[string]string

func readValues(settings []*apiv1.Setting) values {
	v := make(values, len(settings))
	for _, setting := range settings {
		v[setting.Key] = setting.Value
	}
	return v
}

func (v values) duration(key string) time.Duration {
	d, _ := time.ParseDuration(v[key])
	return d
}

func (v values) float(key string) float64 {
	f, _ := strconv.ParseFloat(v[key], 64)
	return f
}

func (v values) integer(key string) int {
	i, _ := strconv.Atoi(v[key])
	return i
}

func (v values) boolean(key string) bool {
	b, _ := strconv.ParseBool(v[key])
	return b
}

// split returns the parsed split of calls, nil when the setting is empty.
func (v values) split(key string) tree.Split {
	text := v[key]
	if text == "" {
		return nil
	}
	split, _ := tree.ParseSplit(text)
	return split
}

// CallerLimits bounds the size of the requests of callers and the time that callers may take.
type CallerLimits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is the time in which the header of a request must arrive.
	HeaderTimeout time.Duration
	// IdleTimeout is the time after which an idle connection of a caller is closed.
	IdleTimeout time.Duration
	// Authenticated is set if calls need the key of a customer, but on public routes.
	Authenticated bool
	// InnerCalls is set if calls are admitted by the room of the services that their runs call.
	InnerCalls bool
}

func parseCallerLimits(settings []*apiv1.Setting) CallerLimits {
	v := readValues(settings)
	return CallerLimits{
		HeaderBytes:   v.integer(tree.KeyCallerHeaderBytes),
		BodyBytes:     int64(v.integer(tree.KeyCallerBodyBytes)),
		HeaderTimeout: v.duration(tree.KeyCallerHeaderTimeout),
		IdleTimeout:   v.duration(tree.KeyCallerIdleTimeout),
		Authenticated: v.boolean(tree.KeyCallerAuthenticated),
		InnerCalls:    v.boolean(tree.KeyAdmissionInnerCalls),
	}
}

func parseRouteSettings(v values) RouteSettings {
	return RouteSettings{
		CallTimeout:    v.duration(tree.KeyCallTimeout),
		RetryLimit:     v.integer(tree.KeyRetryLimit),
		RetryBudget:    v.float(tree.KeyRetryBudget),
		ClaimRetention: v.duration(tree.KeyClaimRetention),
		Objective:      v.duration(tree.KeyRouteObjective),
		Attempts:       v.integer(tree.KeyRouteAttempts),
		Priority:       v.integer(tree.KeyRoutePriority),
		Public:         v.boolean(tree.KeyRoutePublic),
		LongResponses:  v.boolean(tree.KeyRouteLongResponses),
		Split:          v.split(tree.KeyRouteSplit),
	}
}

func parseServiceSettings(settings []*apiv1.Setting) ServiceSettings {
	v := readValues(settings)
	return ServiceSettings{
		Balance: balance.Policy{
			SpillThreshold: v.float(tree.KeySpillThreshold),
			SlowStart:      v.duration(tree.KeySlowStart),
			EjectErrorRate: v.float(tree.KeyEjectErrorRate),
			EjectMaxShare:  v.float(tree.KeyEjectMaxShare),
			EjectTime:      v.duration(tree.KeyEjectTime),
		},
		QueueLength:  v.integer(tree.KeyQueueLength),
		CallerShare:  v.float(tree.KeyCallerShare),
		DrainTimeout: v.duration(tree.KeyDrainTimeout),
		ColdStart:    v.duration(tree.KeyServiceColdStart),
		ColdRate:     v.float(tree.KeyServiceColdRate),
		ErrorMargin:  v.float(tree.KeyMoveErrorMargin),
		LatencyRatio: v.float(tree.KeyMoveLatencyRatio),
	}
}
