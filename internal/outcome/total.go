package outcome

// Total counts the attempts of one key since the process started.
type Total struct {
	Key    Key
	OK     uint64
	Errors uint64
	Broken uint64
}

// Totals returns the counts since the process started, in no particular order.
func (a *Aggregator) Totals() []Total {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := make([]Total, 0, len(a.totals))
	for key, total := range a.totals {
		if count := a.counts[key]; count != nil {
			total.add(count.Ok, count.Errors, count.Broken)
		}
		list = append(list, total)
	}
	for key, count := range a.counts {
		if _, ok := a.totals[key]; !ok {
			list = append(list, Total{Key: key, OK: count.Ok, Errors: count.Errors, Broken: count.Broken})
		}
	}
	return list
}

func (t *Total) add(ok, errors, broken uint64) {
	t.OK += ok
	t.Errors += errors
	t.Broken += broken
}
