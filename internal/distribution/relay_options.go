package distribution

import (
	"net/http"

	"github.com/rs/zerolog"
)

// RelayOptions configures a relay.
type RelayOptions struct {
	Instance      string
	FailureDomain string
	// ControlAddr is the relay's own control address.
	ControlAddr string
	// Incarnation identifies this start of the process; a later start has a higher one.
	Incarnation uint64
	// Control lists the control addresses of the control instances.
	Control []string
	Client  *http.Client
	// OnRefusal is called after the relay has refused another version than before; it may be nil.
	OnRefusal func()
	Logger    zerolog.Logger
}
