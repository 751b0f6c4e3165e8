package member

import (
	"time"
)

// record is a node or a backend server as its node announces it. Records are immutable: a change replaces them.
type record interface {
	comparable
	GetInstance() string
	GetIncarnation() uint64
	GetRevision() uint64
	GetHome() string
}

// lease is what a table knows of one node or backend server.
type lease[R record] struct {
	record R
	gone   bool
	// dropped is set for a lease that ended here only because a complete list lacked it: the same word brings it back.
	dropped bool
	// expires is the end of a lease that is at home here, or the time to forget an ended one.
	expires time.Time
	// seq and syncSeq are the table's counters at the last change that readers and other tables see.
	seq     uint64
	syncSeq uint64
}
