package claim

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	apiv1 "samphireflow/api/v1"
)

// homeSeparator follows the failure domain in a key that names one: the home of "hobart/booking-17" is hobart.
const homeSeparator = "/"

// Home returns the set of holders that decides on a key, nil while none is assigned. A key that starts with the name of
// a failure domain and a slash has its home there. Any other key is assigned by rendezvous hashing to one of the failure
// domains that were recorded when the first sets were created; so the home of a key never changes.
func Home(key string, assignments []*apiv1.Assignment) *apiv1.Assignment {
	if domain, _, found := strings.Cut(key, homeSeparator); found {
		if set := holderSet(assignments, domain); set != nil {
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
	return holderSet(assignments, best)
}

// holderSet returns the set of claim holders of a failure domain, nil when there is none.
func holderSet(assignments []*apiv1.Assignment, domain string) *apiv1.Assignment {
	for _, set := range assignments {
		if set.Role == apiv1.AssignmentRole_ASSIGNMENT_ROLE_CLAIM_HOLDER && set.FailureDomain == domain {
			return set
		}
	}
	return nil
}

// homeDomains returns the failure domains that keys without one are hashed to.
func homeDomains(assignments []*apiv1.Assignment) []string {
	for _, set := range assignments {
		if set.Role == apiv1.AssignmentRole_ASSIGNMENT_ROLE_CLAIM_HOLDER && len(set.HomeDomains) > 0 {
			return set.HomeDomains
		}
	}
	return nil
}

// HoldersAssigned reports whether every failure domain that keys are hashed to has a set of claim holders.
func HoldersAssigned(assignments []*apiv1.Assignment) bool {
	domains := homeDomains(assignments)
	for _, domain := range domains {
		if holderSet(assignments, domain) == nil {
			return false
		}
	}
	return len(domains) > 0
}
