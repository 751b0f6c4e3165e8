package member

// counters holds the sequence numbers of a table's changes.
type counters struct {
	// seq increases with every change that is visible to readers, syncSeq with every change.
	seq     uint64
	syncSeq uint64
	// purgedSeq and purgedSyncSeq are the highest sequence numbers among the leases that were purged. A reader whose
	// position is lower needs the full list.
	purgedSeq     uint64
	purgedSyncSeq uint64
}
