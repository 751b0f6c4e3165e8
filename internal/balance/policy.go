package balance

import "time"

// Policy holds the settings of a service that a choice depends on.
type Policy struct {
	// SpillThreshold is the utilisation of the own failure domain from which others are looked at.
	SpillThreshold float64
	// SlowStart is the time over which a started backend server gets its full share.
	SlowStart time.Duration
	// EjectErrorRate is the error rate of an outlier.
	EjectErrorRate float64
	// EjectMaxShare is the share of the backend servers that may be ejected at the same time.
	EjectMaxShare float64
	// EjectTime is the time of the first ejection.
	EjectTime time.Duration
}

// MayEject reports whether one more of the backend servers may be ejected, so that enough of them stay.
func (p *Policy) MayEject(local, remote []*Server, now time.Time) bool {
	ejected := 0
	for _, servers := range [2][]*Server{local, remote} {
		for _, server := range servers {
			if server.Load.Ejected(now) {
				ejected++
			}
		}
	}
	return float64(ejected+1) <= p.EjectMaxShare*float64(len(local)+len(remote))
}
