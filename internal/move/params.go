package move

import "time"

// The rates that the judge states. They hold for one move.
const (
	// falseAlarmRate bounds the probability that a version as good as the old one is taken back.
	falseAlarmRate = 0.005
	// missRate is the probability, for a version that is worse by the margin, of looking good enough to become whole.
	missRate = 0.05
	// lastLookMissRate is the same for the one look at the last call, by which a move of few calls may still become whole.
	lastLookMissRate = 0.1
	// stageMissRate is the same for going one stage further.
	stageMissRate = 0.5
	// doubtRate is the probability that a version as good as the old one is held at its share.
	doubtRate = 0.02
)

const (
	// blockTime is the shortest time of a block of calls that are compared.
	blockTime = time.Second
	// longestBlock is the time after which a block is closed though one version had no calls.
	longestBlock = 30 * time.Second
	// leastRateTime is the time after the first call before which no rate of calls is estimated.
	leastRateTime = 20 * time.Second
	// settleTime is the time after a change of share in which call durations are not judged.
	settleTime = 2 * time.Second
	// coldCalls is the count of calls, for each backend server, after which it has warmed up.
	coldCalls = 8
	// coldTime is the time from its start in which a backend server is warming up.
	coldTime = 10 * time.Second
	// quorumCalls is the count of calls of the old version below which its durations set no threshold.
	quorumCalls = 20
	// coarseMargin and coarseMissRate are what a stage is cleared against when calls are few.
	coarseMargin   = 0.25
	coarseMissRate = 0.4
	// hurryFactor is the ratio of expected to needed calls of the new version below which calls count as few.
	hurryFactor = 6
	// leastBadCalls is the count of bad calls from which a route is looked at by itself.
	leastBadCalls = 2
	// leastAgainst is the count of bad calls from which a rate above the margin speaks against a version at its deadline:
	// below it, a version as good as the old one often has as many.
	leastAgainst = 4
	// ownJudgementCalls is the count of calls of the old version from which a route must be cleared by itself.
	ownJudgementCalls = 400
	// routeMissRate is the miss rate for a route by itself, against the route margin.
	routeMissRate = 0.2
	// routeMargin is the least margin of a route by itself.
	routeMargin = 0.1
	// usableSlots is the part of the slots of the new version that may be planned with.
	usableSlots = 0.8
	// rateMemory and recentMemory are the counts of calls after which older ones weigh half in a running rate.
	rateMemory   = 2000
	recentMemory = 20
	// leastRecentCalls is the count of calls below which the recent rate says nothing.
	leastRecentCalls = 5
	// brokenBothRate is the rate of bad calls of the old version from which something beneath is suspected.
	brokenBothRate = 0.1
)

// Rises of rates that the comparisons are most sensitive to.
var (
	largeErrorRises = []float64{0.1, 0.5}
	medianRises     = []float64{0.25, 0.6}
	tailRises       = []float64{0.06, 0.25}
	deathOdds       = []float64{20}
)

const (
	medianQuantile = 0.5
	tailQuantile   = 0.95
	// slowMargin is the rise of the share of slow calls against which a version is cleared.
	slowMargin = 0.25
)
