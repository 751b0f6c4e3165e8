package moves

import "time"

// scenario is a kind of move: the regression of a bad new version, or the disturbance during the move of a good one.
type scenario struct {
	name string
	// bad marks a new version with a regression; its move must be rolled back.
	bad bool
	// errorRate is the rate at which the regression fails calls, in addition to the errors of a good version.
	errorRate float64
	// slowFactor multiplies the call durations of the new version; 0 leaves them unchanged.
	slowFactor float64
	// onsetFrom and onsetTo bound the onset of the regression, as fractions of the time to the deadline.
	onsetFrom, onsetTo float64
	// minShare is the traffic share from which the regression shows.
	minShare float64
	// oneRoute restricts the regression to one route.
	oneRoute bool
	// crashRate is the rate at which calls crash a backend server of the new version.
	crashRate float64
	// coldStart makes the first calls of each of the new version's backend servers slow.
	coldStart bool
	// dependencyFault makes calls of both versions fail during the disturbance, as when a shared dependency fails.
	dependencyFault bool
	// dependencyFaultAtFullShare makes calls of both versions fail for a while after the new version has reached its
	// full share.
	dependencyFaultAtFullShare bool
	// crashInterval is the time between requests that crash any backend server and that their caller retries.
	crashInterval time.Duration
	// partition cuts off one failure domain from the control group during the disturbance.
	partition bool
	// leaderLoss makes the control group lose its leader twice. The next leader has received the reports as well.
	leaderLoss bool
	// controlRestart restarts the whole control group twice, which loses all evidence.
	controlRestart bool
	// surge doubles the call rate and slows both versions down during the disturbance.
	surge bool
}

func badScenarios() []scenario {
	return []scenario{
		{name: "fails-at-once", bad: true, errorRate: 0.3},
		{name: "fails-every-call", bad: true, errorRate: 1},
		{name: "fails-a-little", bad: true, errorRate: 0.06},
		{name: "slow-at-once", bad: true, slowFactor: 5},
		{name: "fails-later", bad: true, errorRate: 0.3, onsetFrom: 0.2, onsetTo: 0.7},
		{name: "slow-later", bad: true, slowFactor: 5, onsetFrom: 0.2, onsetTo: 0.7},
		{name: "fails-under-load", bad: true, errorRate: 0.4, minShare: 0.4},
		{name: "one-route-fails", bad: true, errorRate: 0.6, oneRoute: true},
		{name: "servers-die", bad: true, crashRate: 0.1},
	}
}

func goodScenarios() []scenario {
	return []scenario{
		{name: "good"},
		{name: "cold-start", coldStart: true},
		{name: "both-fail-for-a-time", dependencyFault: true},
		{name: "both-fail-when-whole", dependencyFaultAtFullShare: true},
		{name: "crashing-request", crashInterval: 5 * time.Minute},
		{name: "domain-cut-off", partition: true},
		{name: "leader-lost", leaderLoss: true},
		{name: "control-restarted", controlRestart: true},
		{name: "surge", surge: true},
	}
}
