package move

import "time"

// Statistical error probabilities of the tests of a Judge. Each holds for one move, unless its comment says otherwise.
const (
	// falseAlarmRate bounds the probability that a version as good as the old one is rolled back or, from the full share,
	// returned to half of the calls.
	falseAlarmRate = 0.005
	// missRate is the probability that a version which is worse by the margin passes the tests for the full share.
	missRate = 0.05
	// cutoffMissRate is the same probability for the single test at the cutoff. It is higher, so that a move of few calls
	// can still reach the full share.
	cutoffMissRate = 0.1
	// stageMissRate is the same probability for advancing by one stage.
	stageMissRate = 0.5
	// falseHoldRate bounds the probability that a version as good as the old one is held at its share.
	falseHoldRate = 0.02
)

const (
	// minBlockTime is the shortest duration of a block of compared calls.
	minBlockTime = time.Second
	// maxBlockTime is the time after which a block is closed even if one version had no calls.
	maxBlockTime = 30 * time.Second
	// minRateTime is the time since the first call that is needed to estimate the rate of calls.
	minRateTime = 20 * time.Second
	// settleTime is the time after a change of the share during which call durations are ignored.
	settleTime = 2 * time.Second
	// warmUpCalls is the number of calls per backend server after which the new version may count as warm.
	warmUpCalls = 8
	// warmUpTime is the shortest time from the start of a backend server to the end of its warm-up.
	warmUpTime = 10 * time.Second
	// minDurationCalls is the number of calls of the old version needed to derive duration thresholds from them.
	minDurationCalls = 20
	// coarseMargin and coarseMissRate are the margin and the miss rate of the stage test when calls are few.
	coarseMargin   = 0.25
	coarseMissRate = 0.4
	// fewCallsFactor is the ratio of expected to needed calls of the new version below which a move advances without
	// waiting for the planned end of a stage.
	fewCallsFactor = 6
	// minRouteBadCalls is the number of bad calls of the new version on one route from which these can keep a move from
	// the full share.
	minRouteBadCalls = 2
	// minBadCallsAtCutoff is the number of bad calls below which the error rate of the new version is ignored at the
	// cutoff, because a version as good as the old one often has a few by chance.
	minBadCallsAtCutoff = 4
	// minRouteCalls is the number of calls of the old version on one route from which the route must pass its own
	// non-inferiority test.
	minRouteCalls = 400
	// routeMissRate is the miss rate of the non-inferiority test of one route.
	routeMissRate = 0.2
	// routeMargin is the smallest margin of the non-inferiority test of one route.
	routeMargin = 0.1
	// usableSlotShare is the highest planned utilization of the new version's slots.
	usableSlotShare = 0.8
	// rateDecayCalls and recentDecayCalls set the decay of a running rate: a block of that many calls halves the weight
	// of the earlier ones. recentDecayCalls is also the number of calls of the old version that must follow a block before
	// the non-inferiority tests use it.
	rateDecayCalls   = 2000
	recentDecayCalls = 20
	// minRecentCalls is the number of calls of the old version below which its recent rate is not used.
	minRecentCalls = 5
	// sharedFaultRate is the rate of bad calls of the old version from which a fault that both versions share, such as a
	// failing dependency, is suspected.
	sharedFaultRate = 0.1
)

// Rises of the rates of bad calls, and ratios of the odds of a crash, that the tests are most sensitive to.
var (
	largeErrorRises = []float64{0.1, 0.5}
	medianRises     = []float64{0.25, 0.6}
	tailRises       = []float64{0.06, 0.25}
	crashOddsRatios = []float64{20}
)

const (
	medianQuantile = 0.5
	tailQuantile   = 0.95
	// slownessMargin is the margin of the non-inferiority test for the share of slow calls.
	slownessMargin = 0.25
)
