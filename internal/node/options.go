package node

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	apiv1 "samphireflow/api/v1"
)

// Options are the settings of a node.
type Options struct {
	Instance      string
	FailureDomain string
	CallerAddr    string
	ControlAddr   string
	AdminAddr     string
	// Control lists the control addresses of the control instances as IP:port.
	Control []string
	// Seeds lists the control addresses of some nodes of the failure domain, which a restarted node asks for the
	// relays while no control instance can be reached.
	Seeds []string
	// Services lists the services that the callers of this node call; empty for all.
	Services []string
	// Client reaches the other processes; nil for one of the node's own.
	Client *http.Client
	// Service is the service of the backend server beside this node; empty for any.
	Service string
	// GateAddr is the address of this node's gate, where that is not the control address.
	GateAddr string
	// Direct lets the node follow the control instances without relays, and learn of further control instances.
	Direct bool
	// Timing holds the times that depend on the size of the deployment; zero for those of a large one.
	Timing Timing
	// OnApply is told each snapshot that the node begins to act on; nil for nobody.
	OnApply func(*apiv1.Snapshot)
	Logger  zerolog.Logger
}

const (
	// renewInterval is the time between lease renewals.
	renewInterval = 2 * time.Second
	// renewTimeout bounds a lease renewal, and renewFailures is the number of failed ones in a row after which the
	// relay is given up.
	renewTimeout  = time.Second
	renewFailures = 2
	// reportInterval is the time between reports of outcomes.
	reportInterval = time.Second
	// directReportInterval is the same where nodes report to the control instances themselves, for moves of seconds.
	directReportInterval = 300 * time.Millisecond
	// requestTimeout bounds every other request.
	requestTimeout = 2 * time.Second
	// retryPause is the first mean pause after a failed watch, and maxRetryPause the longest.
	retryPause    = 100 * time.Millisecond
	maxRetryPause = 3 * time.Second
	// homeAfter is the mean time after which a node that turned to a second choice tries its first one again.
	homeAfter = 30 * time.Second
	// relayAfter is the mean time after which a node that follows a control instance, although relays are assigned,
	// tries the relays again.
	relayAfter = 2 * time.Second
	// membersRate is what a node takes of membership changes on average, in bytes a second, membersBurst what it takes
	// at once after a quiet time, and maxMembersDelay the longest time that it goes without them.
	membersRate     = 3 << 10
	membersBurst    = 128 << 10
	maxMembersDelay = 20 * time.Second
)
