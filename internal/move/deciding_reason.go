package move

import (
	"fmt"
	"strings"
)

func (d *deciding) takenBackReason() string {
	reason := d.compared.text + " than those of " + d.move.FromVersion + ": " + d.evidence()
	if d.situation.ReadyOld == 0 {
		reason += "; no backend server of " + d.move.FromVersion + " is ready"
	}
	return reason
}

func (d *deciding) evidence() string {
	return fmt.Sprintf("%s had %d calls, %d failed", d.move.ToVersion, d.judge.newCalls, d.judge.newBad)
}

func (d *deciding) missingText() string {
	if len(d.situation.MissingDomains) == 0 {
		return ""
	}
	return "; without reports from " + strings.Join(d.situation.MissingDomains, ", ")
}

func percent(basisPoints uint32) string {
	const basisPointsPerPercent = 100
	return fmt.Sprintf("%g%%", float64(basisPoints)/basisPointsPerPercent)
}
