package move

import (
	"fmt"
	"strings"
)

func (d *decider) rollbackReason() string {
	reason := d.concurrent.text + " than those of " + d.move.FromVersion + ": " + d.callSummary()
	if d.status.ReadyOld == 0 {
		reason += "; no backend server of " + d.move.FromVersion + " is ready"
	}
	return reason
}

func (d *decider) callSummary() string {
	return fmt.Sprintf("%s had %d calls, %d failed", d.move.ToVersion, d.judge.newCalls, d.judge.newBad)
}

func (d *decider) missingDomainsText() string {
	if len(d.status.MissingDomains) == 0 {
		return ""
	}
	return "; without reports from " + strings.Join(d.status.MissingDomains, ", ")
}

func percent(basisPoints uint32) string {
	const basisPointsPerPercent = 100
	return fmt.Sprintf("%g%%", float64(basisPoints)/basisPointsPerPercent)
}
