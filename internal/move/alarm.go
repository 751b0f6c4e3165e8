package move

import (
	"math"
)

// alarm is the evidence of one test, weighted by its part in the whole.
type alarm struct {
	finding string
	log     float64
}

// strongest returns the sum of all evidence with the words of the alarm that has most of it.
func strongest(alarms []alarm) finding {
	top, sum := alarms[0], 0.0
	for _, a := range alarms {
		sum += math.Exp(a.log)
		if a.log > top.log {
			top = a
		}
	}
	return finding{math.Log(sum), top.finding}
}
