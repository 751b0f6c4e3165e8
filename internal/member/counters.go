package member

// counters number the changes of a table.
type counters struct {
	// seq grows with every change that readers can see, syncSeq with every change.
	seq     uint64
	syncSeq uint64
	// forgotten and syncForgotten are the highest numbers of leases that are no longer remembered: a reader that has
	// less needs the whole list.
	forgotten     uint64
	syncForgotten uint64
}
