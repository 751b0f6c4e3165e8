package quota

import (
	"math"
	"time"
)

// demandHalfLife is the time in which a change of demand is half known.
const demandHalfLife = time.Second

// demand estimates a rate of events with an exponentially decaying mean. The zero value has seen none.
type demand struct {
	rate float64
	at   time.Time
}

// add records events.
func (d *demand) add(n int, now time.Time) {
	decay := math.Ln2 / demandHalfLife.Seconds()
	d.rate = d.perSecond(now) + float64(n)*decay
	d.at = now
}

// perSecond returns the estimate.
func (d *demand) perSecond(now time.Time) float64 {
	passed := now.Sub(d.at)
	if d.rate == 0 || passed <= 0 {
		return d.rate
	}
	return d.rate * math.Exp2(-passed.Seconds()/demandHalfLife.Seconds())
}
