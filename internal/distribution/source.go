package distribution

import (
	"time"

	apiv1 "samphireflow/api/v1"
)

// Source is where a watch server has its versions from. It must be safe for use by many goroutines.
type Source interface {
	// History returns the versions of a failure domain that may be handed down, nil when this process does not
	// serve it.
	History(failureDomain string) *History
	// Redirect returns the relays that a watcher has to turn to for versions, nil when it gets them here.
	Redirect(request *apiv1.WatchRequest) *apiv1.Assignment
	// Accepted returns the newest version that is known to be accepted.
	Accepted() uint64
	// Changed returns a channel that is closed when a newer version can be handed down. Take it before reading.
	Changed() <-chan struct{}
	// Age returns the time since a quorum of the control group was heard, directly or through others.
	Age() time.Duration
	// MembersComplete reports whether the table of members can be handed down; shortly after a start it cannot.
	MembersComplete() bool
	// ControlAddrs lists the control addresses of the control group, as far as they are known here.
	ControlAddrs() []string
}
