package moves

import "time"

// workload describes the calls to one service of a user.
type workload struct {
	name string
	// domains and nodes are the numbers of failure domains and nodes.
	domains int
	nodes   int
	// servers is the number of backend servers of each version.
	servers int
	// callsPerSecond is the call rate of all nodes together.
	callsPerSecond float64
	// routes holds each route's share of the calls.
	routes []float64
	// errorRate is the rate at which a good version fails calls.
	errorRate float64
	// median is the median call duration of a good version.
	median time.Duration
	// deadline and watch are the durations set for each move.
	deadline time.Duration
	watch    time.Duration
	// night marks the low call rate of a quiet night.
	night bool
	// thinEvidence is the thin-evidence rule of each move; empty means the default.
	thinEvidence string
}

// workloads returns both users' workloads, by day and at the call rate of a quiet night.
func workloads() []workload {
	ploughline := workload{
		name: "ploughline-day", domains: 4, nodes: 18, servers: 5, callsPerSecond: 40, routes: []float64{0.6, 0.3, 0.1},
		errorRate: 0.002, median: 6 * time.Millisecond, deadline: 30 * time.Minute, watch: 5 * time.Minute,
	}
	asociacion := workload{
		name: "asociacion-day", domains: 3, nodes: 14, servers: 4, callsPerSecond: 20, routes: []float64{0.8, 0.2},
		errorRate: 0.001, median: 4 * time.Millisecond, deadline: 30 * time.Minute, watch: 5 * time.Minute,
	}
	return []workload{ploughline, asociacion, ploughline.atNight("ploughline-night", 0.5), asociacion.atNight("asociacion-night", 0.3)}
}

// atNight returns the same workload at the call rate of a quiet night.
func (w workload) atNight(name string, callsPerSecond float64) workload {
	w.name = name
	w.callsPerSecond = callsPerSecond
	w.night = true
	return w
}
