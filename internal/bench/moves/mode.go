package moves

import "time"

// mode is a kind of move: what is wrong with the new version, or what happens to a good one.
type mode struct {
	name string
	// bad says that the new version is to be taken back.
	bad bool
	// errorRate is the rate at which the new version fails calls beyond a good one's.
	errorRate float64
	// slowFactor multiplies the durations of the new version; 0 leaves them.
	slowFactor float64
	// from and to bound when the badness starts, as parts of the time to the deadline.
	from, to float64
	// minLoad is the part of the whole load from which the badness shows.
	minLoad float64
	// oneRoute restricts the badness to one route.
	oneRoute bool
	// deathRate is the rate at which calls kill a backend server of the new version.
	deathRate float64
	// cold makes the first calls of the new version's backend servers slow.
	cold bool
	// beneath makes both versions fail for some time.
	beneath bool
	// beneathWatch makes the whole version, and the old one with it, fail for a while.
	beneathWatch bool
	// crashEvery is the time between requests that kill any backend server and are sent several times.
	crashEvery time.Duration
	// cut cuts one failure domain off for some time.
	cut bool
	// leaderLoss makes control lose its leader twice; the next one has had the reports too.
	leaderLoss bool
	// restart makes all of control restart twice, which loses all evidence.
	restart bool
	// surge doubles the calls and slows both versions down for some time.
	surge bool
}

func badModes() []mode {
	return []mode{
		{name: "fails-at-once", bad: true, errorRate: 0.3},
		{name: "fails-every-call", bad: true, errorRate: 1},
		{name: "fails-a-little", bad: true, errorRate: 0.06},
		{name: "slow-at-once", bad: true, slowFactor: 5},
		{name: "fails-later", bad: true, errorRate: 0.3, from: 0.2, to: 0.7},
		{name: "slow-later", bad: true, slowFactor: 5, from: 0.2, to: 0.7},
		{name: "fails-under-load", bad: true, errorRate: 0.4, minLoad: 0.4},
		{name: "one-route-fails", bad: true, errorRate: 0.6, oneRoute: true},
		{name: "servers-die", bad: true, deathRate: 0.1},
	}
}

func goodModes() []mode {
	return []mode{
		{name: "good"},
		{name: "cold-start", cold: true},
		{name: "both-fail-for-a-time", beneath: true},
		{name: "both-fail-when-whole", beneathWatch: true},
		{name: "crashing-request", crashEvery: 5 * time.Minute},
		{name: "domain-cut-off", cut: true},
		{name: "leader-lost", leaderLoss: true},
		{name: "control-restarted", restart: true},
		{name: "surge", surge: true},
	}
}
