package move

import (
	"fmt"
	"math"
)

// obstacle says what keeps the share from being raised, whatever the plan; empty for nothing.
func (d *deciding) obstacle() string {
	next := d.judge.plan.shares[min(d.stage()+1, testStages)]
	switch {
	case d.situation.ReadyNew == 0:
		return "no backend server of " + d.move.ToVersion + " is ready"
	case d.compared.log >= math.Log(1/doubtRate):
		return "there is doubt, as " + d.compared.text + ": " + d.evidence()
	case d.judge.clearing.failing():
		return "both versions answer badly, so something beneath them is likely: " + d.evidence()
	case !d.capacityFor(next):
		return fmt.Sprintf("%d backend servers of %s cannot carry a share of %s", d.situation.ReadyNew, d.move.ToVersion, percent(next))
	}
	return ""
}

// capacityFor applies Little's law to the calls of the stage.
func (d *deciding) capacityFor(share uint32) bool {
	elapsed := d.now.Sub(d.judge.shareSince)
	if d.situation.SlotsNew == 0 || elapsed <= 0 {
		return true
	}
	atOnce := float64(d.judge.stageBusy) / float64(elapsed)
	return atOnce*float64(share)/fullShare <= usableSlots*float64(d.situation.SlotsNew)
}
