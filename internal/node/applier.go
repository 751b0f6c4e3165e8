package node

import (
	"time"

	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/distribution"
	"samphireflow/internal/snapshot"
)

// ErrStaleSnapshot is wrapped by the errors that refuse a snapshot which is older than the one that the node has applied,
// or may have applied before a restart.
var ErrStaleSnapshot = errors.New("older than what the node has applied")

// applier decides which snapshot the node holds and when it may serve by it. It is owned by the watch goroutine of the
// node.
//
// Invariant: version and term of current never decrease, and current has passed snapshot.Check. The node serves by current
// only once the floor is known and the version is not below it, so that it never goes back behind its restart.
type applier struct {
	failureDomain string
	// floor is the newest version that the node may have applied before it started; nil until it is known.
	floor          *uint64
	current        *apiv1.Snapshot
	digester       snapshot.Digester
	refusedVersion uint64
	refusal        string
	// wantFull requests the full snapshot after a delta was refused, because the full snapshot may still be valid.
	wantFull bool
	// confirmedAt is the latest time at which current is known to have been the newest accepted version.
	confirmedAt time.Time
}

// apply applies the configuration in a watch response. It reports whether the current snapshot changed. A refused
// configuration leaves the current snapshot unchanged.
func (a *applier) apply(response *apiv1.WatchResponse) (bool, error) {
	next, version, err := distribution.Decode(&a.digester, a.current, response)
	if err != nil {
		return false, a.recordRefusal(version, err, len(response.Delta) > 0)
	}
	if next == nil {
		return false, nil
	}
	if next.FailureDomain != a.failureDomain {
		return false, a.recordRefusal(version, errors.Errorf("snapshot is for failure domain %q", next.FailureDomain), false)
	}
	if err := a.checkOrder(next); err != nil {
		return false, err
	}
	a.current = next
	a.refusedVersion, a.refusal = 0, ""
	a.wantFull = false
	return true, nil
}

// confirm records that the current snapshot is the newest accepted version, if a response that arrives now says so.
func (a *applier) confirm(response *apiv1.WatchResponse, now time.Time) {
	confirmed := now.Add(-time.Duration(response.AgeMs) * time.Millisecond)
	if a.current.GetVersion() >= response.AcceptedVersion && confirmed.After(a.confirmedAt) {
		a.confirmedAt = confirmed
	}
}

// mayServe reports whether the node may serve by the current snapshot.
func (a *applier) mayServe() bool {
	return a.current != nil && a.floor != nil && a.current.Version >= *a.floor
}

// checkFloor returns an error if the floor is known and the upstream has not sent a version that reaches it.
func (a *applier) checkFloor() error {
	if a.floor == nil || *a.floor == 0 || a.mayServe() {
		return nil
	}
	return errors.Wrapf(ErrStaleSnapshot, "version %d, version %d may have been applied before the restart", a.current.GetVersion(), *a.floor)
}

// checkOrder refuses the snapshot of a stale upstream: a relay that is behind, or a control instance of an older term.
func (a *applier) checkOrder(next *apiv1.Snapshot) error {
	switch {
	case a.current == nil:
		return nil
	case next.Version <= a.current.Version:
		return errors.Wrapf(ErrStaleSnapshot, "version %d, applied %d", next.Version, a.current.Version)
	case next.Term < a.current.Term:
		return errors.Wrapf(ErrStaleSnapshot, "version %d of term %d, applied term %d", next.Version, next.Term, a.current.Term)
	}
	return nil
}

// recordRefusal records a version that could not be applied, and why, and returns err. A refused delta is not recorded;
// the full snapshot is requested once instead.
func (a *applier) recordRefusal(version uint64, err error, delta bool) error {
	a.wantFull = delta
	if !delta {
		a.refusedVersion, a.refusal = version, err.Error()
	}
	return err
}
