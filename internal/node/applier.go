package node

import (
	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/distribution"
)

// ErrStaleSnapshot is wrapped by the errors that refuse a snapshot which is older than what the node acts on, or may have
// acted on before a restart.
var ErrStaleSnapshot = errors.New("older than what the node has applied")

// applier decides which snapshot a node acts on. It is owned by the node's control goroutine.
//
// Invariant: version and term of current never decrease, version is never below floor, and current has passed
// snapshot.Check.
type applier struct {
	failureDomain string
	// floor is the newest version that the node may have applied before it started.
	floor          uint64
	current        *apiv1.Snapshot
	refusedVersion uint64
	refusal        string
	// wantWhole is set after a delta was refused: the whole snapshot may do.
	wantWhole bool
}

// take applies the configuration of a watch answer. It reports whether the current snapshot changed. What is
// refused leaves the current snapshot in force, whole.
func (a *applier) take(response *apiv1.WatchResponse) (bool, error) {
	next, version, err := distribution.Decode(a.current, response)
	if err != nil {
		return false, a.refuse(version, err, len(response.Delta) > 0)
	}
	if next == nil {
		return false, nil
	}
	if next.FailureDomain != a.failureDomain {
		return false, a.refuse(version, errors.Errorf("snapshot is for failure domain %q", next.FailureDomain), false)
	}
	if err := a.order(next); err != nil {
		return false, err
	}
	a.current = next
	a.refusedVersion, a.refusal = 0, ""
	a.wantWhole = false
	return true, nil
}

// order refuses the word of a sender that is behind: a stale relay, or a control instance of an older term.
func (a *applier) order(next *apiv1.Snapshot) error {
	switch {
	case next.Version < a.floor:
		return errors.Wrapf(ErrStaleSnapshot, "version %d, version %d may have been applied before the restart", next.Version, a.floor)
	case a.current == nil:
		return nil
	case next.Version <= a.current.Version:
		return errors.Wrapf(ErrStaleSnapshot, "version %d, applied %d", next.Version, a.current.Version)
	case next.Term < a.current.Term:
		return errors.Wrapf(ErrStaleSnapshot, "version %d of term %d, applied term %d", next.Version, next.Term, a.current.Term)
	}
	return nil
}

// refuse remembers a version that could not be taken. A refused delta is followed by one try with the whole
// snapshot.
func (a *applier) refuse(version uint64, err error, delta bool) error {
	a.wantWhole = delta
	if !delta {
		a.refusedVersion, a.refusal = version, err.Error()
	}
	return err
}
