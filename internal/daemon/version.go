package daemon

import (
	"strconv"

	"samphireflow/internal/admin"
)

// Version returns the applied configuration version of the process.
func (d *Daemon) Version() admin.Version {
	if d.node != nil {
		snap := d.node.Status().Snapshot
		return admin.Version{
			Version: snap.GetVersion(),
			Term:    snap.GetTerm(),
			Digest:  strconv.FormatUint(snap.GetDigest(), 16),
		}
	}
	version, term := d.control.Version()
	return admin.Version{Version: version, Term: term}
}
