package node

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/copies"
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
	// Seeds lists the control addresses of some nodes of the failure domain, from which a restarted node learns the
	// relays while no control instance is reachable.
	Seeds []string
	// Services lists the services that the callers of this node call; empty for all.
	Services []string
	// Client sends the requests to other processes; nil for a new client.
	Client *http.Client
	// Service is the service of the backend server beside this node; empty for any.
	Service string
	// GateAddr is the address of this node's gate, where that is not the control address.
	GateAddr string
	// Tolerance is what may be lost at the same time without the loss of what this node has acknowledged.
	Tolerance copies.Tolerance
	// Direct makes the node watch the control instances without relays, and learn the addresses of further ones.
	Direct bool
	// Timing holds the intervals that depend on the size of the deployment; zero values are those of a large one.
	Timing Timing
	// OnApply is called with each snapshot that the node applies; it may be nil.
	OnApply func(*apiv1.Snapshot)
	Logger  zerolog.Logger
}

const (
	// renewInterval is the time between lease renewals.
	renewInterval = 2 * time.Second
	// renewTimeout bounds a lease renewal and a report without relays, and maxRenewFailures is the number of consecutive
	// failed renewals after which the node fails over to another process.
	renewTimeout     = time.Second
	maxRenewFailures = 2
	// renewRetryDelay is the mean time after which a failed renewal is repeated while the backend server gets no calls without it.
	renewRetryDelay = 200 * time.Millisecond
	// reportInterval is the time between reports of outcomes.
	reportInterval = time.Second
	// directReportInterval is the time between reports when nodes report to the control instances without relays. It is
	// short because moves there take only seconds.
	directReportInterval = 300 * time.Millisecond
	// requestTimeout bounds a round of queries for the floor, and the time for the response to a watch beyond its wait.
	requestTimeout = 2 * time.Second
	// minRetryDelay is the mean delay after a first failed watch or a failed round of queries for the floor, and
	// maxRetryDelay the longest mean delay after repeated failures of the watch.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 3 * time.Second
	// failbackInterval is the mean time after which a node that failed over returns to its first choice.
	failbackInterval = 30 * time.Second
	// approachInterval is the mean time between checks whether a node that watches control instances directly can turn to
	// one of its failure domain. It is the time for which its versions and members cross between failure domains after
	// that instance has restarted.
	approachInterval = 2 * time.Second
	// nearWait is the longest time for which a starting node waits to learn of a control instance of its failure domain. It
	// is a few round trips between failure domains of a region.
	nearWait = 200 * time.Millisecond
	// relayRetryInterval is the mean time after which a node that watches a control instance, although relays are
	// assigned, returns to the relays.
	relayRetryInterval = 2 * time.Second
	// membersRate limits the membership updates that a node requests, in bytes a second on average; membersBurst is the
	// limit in bytes after a quiet period, and maxMembersDelay the longest time for which a node holds back its next
	// request.
	membersRate     = 3 << 10
	membersBurst    = 128 << 10
	maxMembersDelay = 20 * time.Second
)
