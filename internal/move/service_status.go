package move

import "time"

// ServiceStatus is the state of a service's backend servers and of the reports on them, as one decision sees it.
type ServiceStatus struct {
	// ReadyNew and ReadyOld count the ready backend servers of the two versions.
	ReadyNew int
	ReadyOld int
	// SlotsNew is the number of calls that the new version's ready backend servers can run at once; 0 if unknown.
	SlotsNew uint32
	// LastStart is the latest start time among the new version's ready backend servers.
	LastStart time.Time
	// MissingDomains lists the failure domains that were live earlier in the move and are not live now.
	MissingDomains []string
}
