package balance

import "time"

// Policy holds the settings of a service for the choice and the ejection of backend servers.
type Policy struct {
	// SpillThreshold is the utilization of a local backend server from which remote ones are considered.
	SpillThreshold float64
	// SlowStart is the time in which the share of calls of a newly started backend server grows to its full share.
	SlowStart time.Duration
	// EjectErrorRate is the error rate from which a backend server is an outlier.
	EjectErrorRate float64
	// EjectMaxShare is the largest share of the backend servers that may be ejected at the same time.
	EjectMaxShare float64
	// EjectTime is the time of a first ejection.
	EjectTime time.Duration
}

// MayEject reports whether one more of the backend servers may be ejected without exceeding EjectMaxShare.
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
