package move

import "time"

// Situation is what a decision needs besides the outcomes of calls.
type Situation struct {
	// ReadyNew and ReadyOld count the ready backend servers of the two versions.
	ReadyNew int
	ReadyOld int
	// SlotsNew is the count of calls that the new version's ready backend servers run at once; 0 when they do not say.
	SlotsNew uint32
	// LastStart is when the youngest of the new version's backend servers started.
	LastStart time.Time
	// MissingDomains lists failure domains with backend servers of the service that send no reports.
	MissingDomains []string
}
