package move

import (
	"math"
)

// finding is evidence against the new version, as a logarithm, with its main part in words.
type finding struct {
	log  float64
	text string
}

// findings returns the evidence against the new version from calls in the same time as those of the old one, and from
// calls of the whole move against the earlier calls of the old one.
func (j *Judge) findings() (compared, watched finding) {
	if j.stale {
		j.comparedFinding = strongest(j.comparedAlarms())
		j.watchedFinding = strongest(j.watchedAlarms())
		j.stale = false
	}
	return j.comparedFinding, j.watchedFinding
}

func (j *Judge) comparedAlarms() []alarm {
	alarms := j.compared.alarms()
	alarms = append(alarms, alarm{"backend servers die more often", j.deaths.Log() + math.Log(comparedPart*deathsPart)})
	for _, r := range j.sortedRecords() {
		if r.own != nil {
			alarms = append(alarms, r.own.alarms()...)
		}
	}
	return alarms
}

func (j *Judge) watchedAlarms() []alarm {
	alarms := j.watched.alarms()
	for _, r := range j.sortedRecords() {
		if r.own != nil {
			alarms = append(alarms, r.watch.alarms()...)
		}
	}
	return alarms
}
