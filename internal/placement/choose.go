package placement

import (
	"time"
)

const (
	// coldFactor is the factor by which a backend server is taken to be slower right after its start.
	coldFactor = 2
	// crowding is the rise of the cost of a backend server whose slots are all taken but one over an idle one: the more
	// slots are taken, the likelier another node's call takes the last one first.
	crowding = 0.3
	// errorCost is the rise of the cost of a backend server all of whose calls fail. At 5% failures it costs half as much
	// again.
	errorCost = 10
	// remoteCost is the time that another failure domain costs beyond the time of the call: the way there and back, and
	// the bytes between failure domains.
	remoteCost = 4 * time.Millisecond
	// spread is the width of the random part of the cost, which keeps nodes that know the same from choosing the same.
	spread = 0.1
	// unknownTime stands for the time of a call where no backend server of the service has answered one yet.
	unknownTime = 50 * time.Millisecond
)

// Candidate is a backend server that may take a call.
type Candidate struct {
	View *View
	// Local says that it is in the node's own failure domain.
	Local bool
	// Tried says that the call was refused there before.
	Tried bool
}

// Choose returns the index of the backend server at which the call's answer is expected first, -1 when there is none.
// Random returns an evenly distributed number from 0 to 1.
//
// Load pattern: backend servers of one service differ in speed by a factor of three and have few slots; a node sees
// them only through its own calls. The cost is the expected time at the backend server, which grows with the calls
// beyond its slots; one that avoids being called is taken only when there is no other.
func Choose(candidates []Candidate, random func() float64, now time.Time) int {
	sights := make([]sight, len(candidates))
	for i, candidate := range candidates {
		sights[i] = candidate.View.at(now)
	}
	typical := typicalTime(sights)
	best, bestCost := -1, 0.0
	for _, avoided := range []bool{false, true} {
		for i, candidate := range candidates {
			if candidate.Tried || sights[i].avoid != avoided {
				continue
			}
			cost := sights[i].cost(typical)
			if !candidate.Local {
				cost += float64(remoteCost)
			}
			cost *= 1 + spread*random()
			if best < 0 || cost < bestCost {
				best, bestCost = i, cost
			}
		}
		if best >= 0 {
			return best
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

// cost is the expected time of a call in nanoseconds.
func (s sight) cost(typical float64) float64 {
	own := typical
	if s.mean > 0 {
		weight := decay(s.meanAge, timeMemory)
		own = float64(s.mean)*weight + typical*(1-weight)
	}
	use := s.occupied / s.slots
	waiting := max(s.occupied+1-s.slots, 0) / s.slots
	return own * (1 + waiting + crowding*min(use, 1)) * (1 + errorCost*s.errors)
}
