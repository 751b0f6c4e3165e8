package quota

import (
	"github.com/cespare/xxhash/v2"

	"samphireflow/internal/routing"
)

// ShardOf returns the shard of a customer.
func ShardOf(customer string) int {
	return int(xxhash.Sum64String(customer) % Shards)
}

// owner returns the owner of a shard among the nodes that usable accepts, by rendezvous hashing: if a node comes or goes, only
// the shards that it owns change their owner. One that leaves is the owner only if no other is left.
func owner(nodes []routing.Node, shardIndex int, usable func(routing.Node) bool) string {
	best, bestScore, bestLeaving := "", uint64(0), true
	for _, node := range nodes {
		if !usable(node) {
			continue
		}
		score := mix(xxhash.Sum64String(node.Addr) + uint64(shardIndex))
		if best == "" || bestLeaving && !node.Leaving || bestLeaving == node.Leaving && score > bestScore {
			best, bestScore, bestLeaving = node.Addr, score, node.Leaving
		}
	}
	return best
}

// mix spreads the bits of x (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
