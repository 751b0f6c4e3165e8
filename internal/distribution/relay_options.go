package distribution

import (
	"net/http"

	"github.com/rs/zerolog"
)

// RelayOptions are what a relay is made of.
type RelayOptions struct {
	Instance      string
	FailureDomain string
	// ControlAddr is the relay's own control address.
	ControlAddr string
	// Incarnation is the start of the process.
	Incarnation uint64
	// Control lists the control addresses of the control instances.
	Control []string
	Client  *http.Client
	Logger  zerolog.Logger
}
