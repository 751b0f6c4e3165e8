package distribution

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Rank orders relays for one instance by rendezvous hashing: the instance uses the first and fails over to the others in
// order. The instances of a relay that crashes are thus spread over all other relays.
func Rank(instance string, relays []string) []string {
	ranked := append([]string(nil), relays...)
	weight := func(relay string) uint64 { return xxhash.Sum64String(instance + "\x00" + relay) }
	sort.Slice(ranked, func(i, j int) bool {
		a, b := weight(ranked[i]), weight(ranked[j])
		if a != b {
			return a > b
		}
		return ranked[i] < ranked[j]
	})
	return ranked
}
