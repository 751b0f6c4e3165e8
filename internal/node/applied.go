package node

import (
	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/snapshot"
)

// ErrOlder is wrapped by the error that refuses a snapshot older than the applied one.
var ErrOlder = errors.New("older than the applied version")

// applier decides which snapshot a node acts on. It is owned by the node's control goroutine.
//
// Invariant: the version of current never decreases, and current has passed snapshot.Check.
type applier struct {
	failureDomain  string
	current        *apiv1.Snapshot
	refusedVersion uint64
	refusal        string
}

// take applies the configuration of a watch answer. It reports whether the current snapshot changed. What is
// refused leaves the current snapshot in force, whole.
func (a *applier) take(response *apiv1.WatchResponse) (bool, error) {
	next, err := a.next(response)
	if err != nil || next == nil {
		return false, err
	}
	if a.current != nil && next.Version <= a.current.Version {
		return false, errors.Wrapf(ErrOlder, "version %d, applied %d", next.Version, a.current.Version)
	}
	a.current = next
	a.refusedVersion = 0
	a.refusal = ""
	return true, nil
}

func (a *applier) next(response *apiv1.WatchResponse) (*apiv1.Snapshot, error) {
	switch {
	case response.Delta != nil && a.current != nil:
		next, err := snapshot.Apply(a.current, response.Delta)
		return next, a.refuse(response.Delta.Version, err)
	case response.Snapshot != nil:
		if response.Snapshot.FailureDomain != a.failureDomain {
			err := errors.Errorf("snapshot is for failure domain %q", response.Snapshot.FailureDomain)
			return nil, a.refuse(response.Snapshot.Version, err)
		}
		return response.Snapshot, a.refuse(response.Snapshot.Version, snapshot.Check(response.Snapshot))
	}
	return nil, nil
}

func (a *applier) refuse(version uint64, err error) error {
	if err != nil {
		a.refusedVersion = version
		a.refusal = err.Error()
	}
	return err
}
