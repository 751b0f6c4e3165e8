package member

import (
	"time"
)

// record is a node or a backend server as announced by its node. Records are immutable: a change replaces the record.
type record interface {
	comparable
	GetInstance() string
	GetIncarnation() uint64
	GetRevision() uint64
	GetHome() string
}

// lease is the lease of one node or backend server. A lease that has ended stays in the table as a tombstone.
type lease[R record] struct {
	record R
	// gone is set when the lease has ended.
	gone bool
	// fromNode is set if the record is the one that its node sent here last. After a change that another process knew of, the node
	// must send its whole record, so that it learns of the change.
	fromNode bool
	// dropped is set for a lease that ended only because the full list of another table lacked it. A record of the same
	// incarnation and revision restores it.
	dropped bool
	// expires is the time at which an active lease runs out, or at which the tombstone of an ended one is purged. The
	// lease of another home is overdue only if contact with that home is lost too.
	expires time.Time
	// seq is the sequence number of the last change that is visible to readers, syncSeq that of the last change.
	seq     uint64
	syncSeq uint64
}
