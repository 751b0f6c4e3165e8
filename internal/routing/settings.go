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
	// Objective is the latency objective, Attempts the number of backend servers that a call may be sent to, and Priority
	// its rank, 0 first.
	Objective time.Duration
	Attempts  int
	Priority  int
	// Split holds the services that share the calls; empty for the service of the route alone.
	Split tree.Split
}

// ServiceSettings are the parsed settings of a service.
type ServiceSettings struct {
	Balance      balance.Policy
	QueueLength  int
	CallerShare  float64
	DrainTimeout time.Duration
	ErrorMargin  float64
	LatencyRatio float64
}

// values reads settings that the schema has checked, so that a value that does not parse counts as zero.
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

func (v values) split(key string) tree.Split {
	text := v[key]
	if text == "" {
		return nil
	}
	split, _ := tree.ParseSplit(text)
	return split
}

// CallerLimits bound what a caller may send and how long it may take.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

func parseCallerLimits(settings []*apiv1.Setting) CallerLimits {
	v := readValues(settings)
	return CallerLimits{
		HeaderBytes:   v.integer(tree.KeyCallerHeaderBytes),
		BodyBytes:     int64(v.integer(tree.KeyCallerBodyBytes)),
		HeaderTimeout: v.duration(tree.KeyCallerHeaderTime),
		IdleTimeout:   v.duration(tree.KeyCallerIdleTime),
	}
}

func parseRouteSettings(settings []*apiv1.Setting) RouteSettings {
	v := readValues(settings)
	return RouteSettings{
		CallTimeout:    v.duration(tree.KeyCallTimeout),
		RetryLimit:     v.integer(tree.KeyRetryLimit),
		RetryBudget:    v.float(tree.KeyRetryBudget),
		ClaimRetention: v.duration(tree.KeyClaimRetention),
		Objective:      v.duration(tree.KeyRouteObjective),
		Attempts:       v.integer(tree.KeyRouteAttempts),
		Priority:       v.integer(tree.KeyRoutePriority),
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
		ErrorMargin:  v.float(tree.KeyMoveErrorMargin),
		LatencyRatio: v.float(tree.KeyMoveLatencyRatio),
	}
}
