package outcome

// Total counts the calls of one key since the process started.
type Total struct {
	Key    Key
	OK     uint64
	Errors uint64
	Broken uint64
}

// Totals lists what was counted since the process started, in no order.
func (s *Aggregator) Totals() []Total {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Total, 0, len(s.totals))
	for key, total := range s.totals {
		if count := s.counts[key]; count != nil {
			total.add(count.Ok, count.Errors, count.Broken)
		}
		list = append(list, total)
	}
	for key, count := range s.counts {
		if _, ok := s.totals[key]; !ok {
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
