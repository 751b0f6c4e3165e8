package distribution

import (
	"time"

	apiv1 "samphireflow/api/v1"
)

// Source provides the configuration versions that a watch server serves. It must be safe for concurrent use.
type Source interface {
	// History returns the versions of a failure domain that may be served to watchers. It is nil when this process
	// does not serve that failure domain.
	History(failureDomain string) *History
	// Redirect returns the relays from which a watcher must get its versions, nil when it gets them from this process.
	Redirect(request *apiv1.WatchRequest) *apiv1.Assignment
	// Accepted returns the newest version that is known to be accepted.
	Accepted() uint64
	// Changed returns a channel that is closed when a newer version can be served. Get the channel before reading the
	// state, so that no change is missed.
	Changed() <-chan struct{}
	// Age returns the time since the last contact with a quorum of the control group, direct or through other
	// processes.
	Age() time.Duration
	// MembersComplete reports whether the table of members is complete. Shortly after a start it is not, and serving it
	// as complete would make watchers drop live members.
	MembersComplete() bool
	// ControlInstances lists the members of the control group, as far as this process knows them.
	ControlInstances() []*apiv1.ControlInstance
}
