package member

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// digestHome returns a digest of the active leases of one home. It does not depend on their order.
func digestHome[R record](set *leaseSet[R], home string) uint64 {
	var sum uint64
	var buffer []byte
	for instance, l := range set.leases {
		if l.gone || l.record.GetHome() != home {
			continue
		}
		buffer = append(buffer[:0], instance...)
		buffer = binary.BigEndian.AppendUint64(buffer, l.record.GetIncarnation())
		buffer = binary.BigEndian.AppendUint64(buffer, l.record.GetRevision())
		sum += xxhash.Sum64(buffer)
	}
	return sum
}
