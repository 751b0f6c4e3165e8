package suspect

import (
	"slices"
	"time"
)

const (
	// blockingCrashes is the number of crashes after which a request is refused at a version at which it has never completed.
	blockingCrashes = 2
	// blockingCrashesAfterRun is that number for a version at which the request has completed. It may have been in flight by
	// chance beside the request that crashes, also when that was retried.
	blockingCrashesAfterRun = 3
	// maxCrashes bounds the crashes, and maxVersions the versions, that are kept of a request. A service moves from one version
	// to another.
	maxCrashes  = 8
	maxVersions = 4
)

// ServerProcess identifies one incarnation of a backend server.
type ServerProcess struct {
	Instance    string
	Incarnation uint64
}

// crash is a crash of a backend server with the request in flight.
type crash struct {
	process ServerProcess
	version string
	// cleared is set once the request has completed at the version afterwards.
	cleared bool
	// generation is one more than the number of crashes that counted for the request when the run began, 0 if that is not known. Runs
	// that were in flight side by side are of one generation, and their crashes count once: several backend
	// servers may crash at a time for another reason.
	generation uint32
	// recorded is when this node came to know of the crash.
	recorded time.Time
}

// entry describes one suspect request.
type entry struct {
	long      longKey
	crashes   []crash
	completed []string
	lastCrash time.Time
}

// addCrash records a crash. It reports false if the crash is known, also if it has been cleared.
func (e *entry) addCrash(c crash, now time.Time) bool {
	if slices.ContainsFunc(e.crashes, func(known crash) bool { return known.process == c.process }) {
		return false
	}
	if len(e.crashes) == maxCrashes {
		oldest := max(slices.IndexFunc(e.crashes, func(known crash) bool { return known.cleared }), 0)
		e.crashes = slices.Delete(e.crashes, oldest, oldest+1)
	}
	e.crashes = append(e.crashes, c)
	if now.After(e.lastCrash) {
		e.lastCrash = now
	}
	return true
}

// complete records that the request has completed at a version, which clears its crashes at that version. Crashes at another
// version still count: it may fail where this one does not. It reports whether anything has changed.
func (e *entry) complete(version string) bool {
	changed := e.markCompleted(version)
	for i := range e.crashes {
		if c := &e.crashes[i]; c.version == version && !c.cleared {
			c.cleared, changed = true, true
		}
	}
	return changed
}

// markCompleted records that the request has completed at a version, at some time. It reports whether that is new.
func (e *entry) markCompleted(version string) bool {
	if slices.Contains(e.completed, version) {
		return false
	}
	if len(e.completed) == maxVersions {
		e.completed = slices.Delete(e.completed, 0, 1)
	}
	e.completed = append(e.completed, version)
	return true
}

// generationOf returns the generation of a run of this node at a version.
func (e *entry) generationOf(version string, run Run) uint32 {
	return 1 + uint32(max(e.countedCrashes(version, &run.Began), run.Earlier))
}

// blocked reports whether the request must be refused at a version. A request that has completed at no version is taken to crash
// all of them.
func (e *entry) blocked(version string) bool {
	limit := blockingCrashes
	if slices.Contains(e.completed, version) {
		limit = blockingCrashesAfterRun
	}
	return e.countedCrashes(version, nil) >= limit
}

// countedCrashes returns the number of crashes that count for the request at a version, of those recorded by a time if there is
// one.
func (e *entry) countedCrashes(version string, by *time.Time) int {
	count := 0
	generations := map[uint32]bool{}
	for _, c := range e.crashes {
		if c.cleared || c.version != version && len(e.completed) > 0 || by != nil && c.recorded.After(*by) {
			continue
		}
		if c.generation == 0 || !generations[c.generation] {
			count++
		}
		generations[c.generation] = true
	}
	return count
}

// blockedAnywhere reports whether the request is refused at a version at which it was in flight at a crash.
func (e *entry) blockedAnywhere() bool {
	return slices.ContainsFunc(e.crashes, func(c crash) bool { return e.blocked(c.version) })
}
