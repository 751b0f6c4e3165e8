package claim

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	apiv1 "samphireflow/api/v1"
)

// homeSeparator ends the failure domain that a key names: "hobart/booking-17" is at home in hobart.
const homeSeparator = "/"

// Home returns the holders that decide on a key, nil when they are not agreed yet. A key that starts with the name of a
// failure domain is at home there. Any other key is spread by rendezvous hashing over the failure domains that were
// fixed when the first sets were founded; the home of a key never changes.
func Home(key string, assignments []*apiv1.Assignment) *apiv1.Assignment {
	if domain, _, found := strings.Cut(key, homeSeparator); found {
		if set := holders(assignments, domain); set != nil {
			return set
		}
	}
	var best string
	var bestScore uint64
	for _, domain := range homeDomains(assignments) {
		if score := xxhash.Sum64String(domain + "\x00" + key); best == "" || score > bestScore {
			best, bestScore = domain, score
		}
	}
	return holders(assignments, best)
}

func holders(assignments []*apiv1.Assignment, domain string) *apiv1.Assignment {
	for _, set := range assignments {
		if set.Role == apiv1.AssignmentRole_ASSIGNMENT_ROLE_CLAIM_HOLDER && set.FailureDomain == domain {
			return set
		}
	}
	return nil
}

func homeDomains(assignments []*apiv1.Assignment) []string {
	for _, set := range assignments {
		if set.Role == apiv1.AssignmentRole_ASSIGNMENT_ROLE_CLAIM_HOLDER && len(set.HomeDomains) > 0 {
			return set.HomeDomains
		}
	}
	return nil
}

// HoldersAssigned reports whether the sets that keys are spread over have been founded.
func HoldersAssigned(assignments []*apiv1.Assignment) bool {
	domains := homeDomains(assignments)
	for _, domain := range domains {
		if holders(assignments, domain) == nil {
			return false
		}
	}
	return len(domains) > 0
}
