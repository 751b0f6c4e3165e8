package move

import (
	"math"
)

// finding is the combined evidence against the new version, as a natural logarithm, with the text of the strongest test.
type finding struct {
	logEvidence float64
	text        string
}

// findings returns two pieces of evidence against the new version. The concurrent one compares calls of both versions in
// the same period. The historical one compares calls at full share with the earlier calls of the old version.
func (j *Judge) findings() (concurrent, historical finding) {
	if j.stale {
		j.concurrentFinding = combine(j.concurrentResults())
		j.historicalFinding = combine(j.historicalResults())
		j.stale = false
	}
	return j.concurrentFinding, j.historicalFinding
}

func (j *Judge) concurrentResults() []testResult {
	results := j.concurrent.results()
	results = append(results, testResult{"backend servers die more often", j.crashes.LogEvidence() + math.Log(concurrentPart*crashesPart)})
	for _, r := range j.sortedRoutes() {
		if r.concurrent != nil {
			results = append(results, r.concurrent.results()...)
		}
	}
	return results
}

func (j *Judge) historicalResults() []testResult {
	results := j.historical.results()
	for _, r := range j.sortedRoutes() {
		if r.concurrent != nil {
			results = append(results, r.historical.results()...)
		}
	}
	return results
}
