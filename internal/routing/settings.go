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

func parseRouteSettings(settings []*apiv1.Setting) RouteSettings {
	v := readValues(settings)
	return RouteSettings{
		CallTimeout:    v.duration(tree.KeyCallTimeout),
		RetryLimit:     v.integer(tree.KeyRetryLimit),
		RetryBudget:    v.float(tree.KeyRetryBudget),
		ClaimRetention: v.duration(tree.KeyClaimRetention),
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
