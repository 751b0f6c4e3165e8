package proxy

import (
	"sync"

	"samphireflow/internal/limit"
)

// routeState is the state of a route that outlasts changes of the configuration.
type routeState struct {
	budget     *limit.RetryBudget
	minLatency limit.MinLatency
}

// routeStates holds the state of each route by name.
type routeStates struct {
	byName sync.Map
}

func (s *routeStates) get(name string) *routeState {
	if found, ok := s.byName.Load(name); ok {
		return found.(*routeState)
	}
	found, _ := s.byName.LoadOrStore(name, &routeState{budget: limit.NewRetryBudget()})
	return found.(*routeState)
}

// queueKey identifies the queue of calls that wait for the same backend servers.
type queueKey struct {
	service string
	version string
}

// queues holds the queue of each version of a service.
type queues struct {
	byKey sync.Map
}

func (q *queues) get(service, version string) *limit.Queue {
	key := queueKey{service, version}
	if found, ok := q.byKey.Load(key); ok {
		return found.(*limit.Queue)
	}
	found, _ := q.byKey.LoadOrStore(key, limit.NewQueue())
	return found.(*limit.Queue)
}
