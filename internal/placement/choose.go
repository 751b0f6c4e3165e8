package placement

import (
	"slices"
	"time"
)

const (
	// coldFactor is the factor by which a backend server is taken to be slower right after its start.
	coldFactor = 2
	// crowding is the rise of the expected time at a backend server whose slots are all taken but one over an idle one:
	// the more slots are taken, the likelier another node's call takes the last one first.
	crowding = 0.3
	// remoteCost is what another failure domain costs, in the measure of the square of expected time over objective: with
	// durations spread as usual, a call misses its objective about 0.35 times that square as often as not. Of 0.15, 0.35
	// and 0.8 tried on the users' deployments the middle one halved the bytes between failure domains and answered as many
	// calls in time; with the highest the callers of the fullest failure domain were served later on calm days.
	remoteCost = 0.35
	// errorCost is what a failed call costs in parts of its worth; above 1, as it may be repeated elsewhere at a cost.
	errorCost = 2
	// spread is the width of the random part of the cost, which keeps nodes that know the same from choosing the same.
	spread = 0.05
	// unknownTime stands for the time of a call where no backend server of the service has answered one yet.
	unknownTime = 50 * time.Millisecond
)

// Candidate is a backend server that may take a call.
type Candidate struct {
	Stats *ServerStats
	// Local says that it is in the node's own failure domain.
	Local bool
	// Tried says that the call was refused there before.
	Tried bool
}

// Choose returns the index of the backend server at which the call's answer is expected first, -1 when there is none.
// Random returns an evenly distributed number from 0 to 1.
//
// Load pattern: backend servers of one service differ in speed by a factor of three and have few slots; a node sees
// them only through its own calls. A call goes to the own failure domain as long as it is likely to be answered by its
// objective there: the cost grows with the square of the expected time over the objective. A backend server that is to be
// avoided is taken only when all are: while the others are full, a call that waits for one that cannot be reached loses
// the time in which it could come back.
func Choose(candidates []Candidate, objective time.Duration, random func() float64, now time.Time) int {
	sights := make([]sight, len(candidates))
	for i, candidate := range candidates {
		sights[i] = candidate.Stats.at(now)
	}
	typical := typicalTime(sights)
	avoided := !slices.ContainsFunc(sights, func(s sight) bool { return !s.avoid })
	best, bestCost := -1, 0.0
	for i, candidate := range candidates {
		if !candidate.Tried && sights[i].avoid == avoided {
			part := sights[i].expected(typical) / float64(max(objective, time.Millisecond))
			cost := part*part + errorCost*sights[i].errors + spread*random()
			if !candidate.Local {
				cost += remoteCost
			}
			if best < 0 || cost < bestCost {
				best, bestCost = i, cost
			}
		}
	}
	return best
}

// typicalTime is the mean time over the backend servers that have answered.
func typicalTime(sights []sight) float64 {
	sum, count := 0.0, 0
	for _, s := range sights {
		if s.mean > 0 {
			sum += float64(s.mean)
			count++
		}
	}
	if count == 0 {
		return float64(unknownTime)
	}
	return sum / float64(count)
}

// expected is the expected time of a call in nanoseconds.
func (s sight) expected(typical float64) float64 {
	own := typical
	if s.mean > 0 {
		weight := decay(s.meanAge, timeMemory)
		own = float64(s.mean)*weight + typical*(1-weight)
	}
	use := s.occupied / s.slots
	waiting := max(s.occupied+1-s.slots, 0) / s.slots
	return own * (1 + waiting + crowding*min(use, 1))
}
