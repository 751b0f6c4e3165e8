package node

import (
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
	Logger  zerolog.Logger
}

const (
	// renewInterval is the time between lease renewals.
	renewInterval = time.Second
	// reportInterval is the time between reports of outcomes.
	reportInterval = time.Second
	// watchWait is the longest time that a watch is held open.
	watchWait = 10 * time.Second
	// requestTimeout bounds every other request to a control instance.
	requestTimeout = 2 * time.Second
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// retryPause is the mean pause after a failed watch.
	retryPause = 300 * time.Millisecond
)

// upstream is one control instance or relay that a node talks to.
type upstream struct {
	addr         string
	distribution apiv1.Distribution
	membership   apiv1.Membership
}
