package member

import (
	"net/netip"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
)

// Bounds of the fields of a backend server. They are far above those of any real one.
const (
	// maxNameBytes is the length of the longest name, which is that of a host.
	maxNameBytes   = 255
	maxSlots       = 1 << 16
	maxConnections = 1 << 20
	// MaxColdTime is the longest slow start of a backend server.
	MaxColdTime = time.Hour
	// maxClockDifference is the time by which the clock of a backend server may be ahead.
	maxClockDifference = 5 * time.Minute
)

// ErrInvalidServer is wrapped by the error for a record that describes no backend server.
var ErrInvalidServer = errors.New("the record describes no backend server")

// CheckServer checks the record of a backend server. A record that fails the check is not used: it would displace the record of
// the backend server that it claims to be, or could not be encoded or dialed. Errors wrap ErrInvalidServer and name the field.
func CheckServer(server *apiv1.BackendServer) error {
	var field string
	switch {
	case CheckName(server.GetInstance()) != nil:
		field = "instance"
	case server.Version != "" && CheckName(server.Version) != nil:
		field = "version"
	case server.Service != "" && CheckName(server.Service) != nil:
		field = "service"
	case server.FailureDomain != "" && CheckName(server.FailureDomain) != nil:
		field = "failure domain"
	case !dialable(server.Addr):
		field = "address"
	case server.Slots > maxSlots:
		field = "slots"
	case server.Connections > maxConnections:
		field = "connections"
	case server.ColdMs > uint32(MaxColdTime.Milliseconds()):
		field = "slow start"
	case apiv1.ServerState_name[int32(server.State)] == "":
		field = "state"
	default:
		return nil
	}
	return errors.Wrap(ErrInvalidServer, field)
}

// CheckStart checks that a backend server has started before now. A start in the far future would outrank all later ones. The
// error wraps ErrInvalidServer.
func CheckStart(server *apiv1.BackendServer, now time.Time) error {
	newest := now.Add(maxClockDifference)
	if server.StartedUnixMs < 0 || server.StartedUnixMs > newest.UnixMilli() {
		return errors.Wrap(ErrInvalidServer, "start time")
	}
	// Incarnations are start times in milliseconds or nanoseconds.
	if server.Incarnation > uint64(newest.UnixNano()) {
		return errors.Wrap(ErrInvalidServer, "incarnation")
	}
	return nil
}

// CheckName checks a name that other processes receive. Errors wrap ErrInvalidServer.
func CheckName(name string) error {
	switch {
	case name == "":
		return errors.Wrap(ErrInvalidServer, "a name is empty")
	case len(name) > maxNameBytes:
		return errors.Wrapf(ErrInvalidServer, "a name has %d bytes", len(name))
	case !utf8.ValidString(name) || strings.ContainsFunc(name, unicode.IsControl):
		return errors.Wrap(ErrInvalidServer, "a name is not text")
	}
	return nil
}

func dialable(addr string) bool {
	parsed, err := netip.ParseAddrPort(addr)
	return err == nil && parsed.Port() != 0
}
