// Package copies decides when a record may be acknowledged: once copies of it are on the disks of so many instances that one is left
// after all losses that are tolerated at the same time. It does no I/O.
package copies

import "slices"

// Tolerance is what may be lost at the same time, each on its own, without the loss of anything that was acknowledged.
type Tolerance struct {
	// Instances is a number of instances with a disk, FailureDomains one of whole failure domains, Regions one of whole regions.
	Instances, FailureDomains, Regions int
}

// Holder is an instance with a disk. The failure domain and the region are empty while they are not known.
type Holder struct {
	Addr, FailureDomain, Region string
}

type state int

const (
	untried state = iota
	asked
	stored
	// away is the state of an instance that failed to store the record or did not answer in time.
	away
)

// Collection collects the copies of one record. It is not safe for concurrent use.
//
// Invariant: while the record counts as acknowledged, at least one copy is left after every tolerated loss, as far as the instances
// that are not away allow it.
type Collection struct {
	tolerance Tolerance
	// holders lists the instances, the preferred ones first, and states their states.
	holders []Holder
	states  []state
}

// NewCollection returns a collection without copies. The preferred holders come first.
func NewCollection(tolerance Tolerance, holders []Holder) *Collection {
	return &Collection{tolerance: tolerance, holders: slices.Clone(holders), states: make([]state, len(holders))}
}

// Next marks as asked, and returns, as few further instances as suffice if all that were asked store the record.
func (c *Collection) Next() []Holder {
	var next []Holder
	for !c.enough(asked, stored) {
		i := c.mostUseful()
		if i < 0 {
			break
		}
		c.states[i] = asked
		next = append(next, c.holders[i])
	}
	return next
}

// Rest marks as asked, and returns, all instances that were not asked yet.
func (c *Collection) Rest() []Holder {
	var rest []Holder
	for i, state := range c.states {
		if state == untried {
			c.states[i] = asked
			rest = append(rest, c.holders[i])
		}
	}
	return rest
}

// Retry marks as asked, and returns, the instances that are away, if no answer is awaited and none is left to ask.
func (c *Collection) Retry() []Holder {
	if len(c.inStates(untried, asked)) > 0 {
		return nil
	}
	var again []Holder
	for i, state := range c.states {
		if state == away {
			c.states[i] = asked
			again = append(again, c.holders[i])
		}
	}
	return again
}

// Stored records that an instance has stored the record, with what it says of itself.
func (c *Collection) Stored(holder Holder) {
	if i := c.index(holder.Addr); i >= 0 {
		c.states[i] = stored
		if holder.FailureDomain != "" {
			c.holders[i].FailureDomain = holder.FailureDomain
		}
		if holder.Region != "" {
			c.holders[i].Region = holder.Region
		}
	}
}

// Failed records that an instance has not stored the record.
func (c *Collection) Failed(addr string) {
	if i := c.index(addr); i >= 0 && c.states[i] == asked {
		c.states[i] = away
	}
}

// GiveUpWaiting records as away all instances that were asked and have not answered.
func (c *Collection) GiveUpWaiting() {
	for i, state := range c.states {
		if state == asked {
			c.states[i] = away
		}
	}
}

// Complete reports whether the copies suffice for an acknowledgement.
func (c *Collection) Complete() bool {
	return c.enough(stored)
}

// Holders lists the instances that have stored the record.
func (c *Collection) Holders() []Holder {
	return c.inStates(stored)
}

// enough reports whether copies at all instances in the given states suffice.
//
// The number of instances depends on the settings and the size of the group alone: with too few that answer, nothing is
// acknowledged. Failure domains and regions whose instances are all away are lost already, and do not count.
func (c *Collection) enough(states ...state) bool {
	copies, reachable := c.inStates(states...), c.inStates(untried, asked, stored)
	domain := func(h Holder) string { return h.FailureDomain }
	region := func(h Holder) string { return h.Region }
	return len(copies) >= min(c.tolerance.Instances+1, len(c.holders)) && len(copies) > 0 &&
		distinct(copies, domain) >= min(c.tolerance.FailureDomains+1, mostDistinct(reachable, domain)) &&
		distinct(copies, region) >= min(c.tolerance.Regions+1, mostDistinct(reachable, region))
}

// mostUseful returns the index of the first instance to ask next: one in a failure domain and region of its own if there is any.
// It is -1 if all were asked.
func (c *Collection) mostUseful() int {
	best, bestRank := -1, -1
	taken := c.inStates(asked, stored)
	for i, state := range c.states {
		if state != untried {
			continue
		}
		rank := 0
		if !slices.ContainsFunc(taken, func(h Holder) bool { return h.FailureDomain == c.holders[i].FailureDomain }) {
			rank++
		}
		if c.tolerance.Regions > 0 && !slices.ContainsFunc(taken, func(h Holder) bool { return h.Region == c.holders[i].Region }) {
			rank++
		}
		if rank > bestRank {
			best, bestRank = i, rank
		}
	}
	return best
}

func (c *Collection) inStates(states ...state) []Holder {
	var list []Holder
	for i, state := range c.states {
		if slices.Contains(states, state) {
			list = append(list, c.holders[i])
		}
	}
	return list
}

func (c *Collection) index(addr string) int {
	return slices.IndexFunc(c.holders, func(h Holder) bool { return h.Addr == addr })
}

// distinct returns the number of known places of the holders, at least 1 if there are any: those whose place is not known may all be
// in one.
func distinct(holders []Holder, place func(Holder) string) int {
	known, unknown := places(holders, place)
	return max(known, min(unknown, 1))
}

// mostDistinct returns the number of places if each holder whose place is not known is in one of its own.
func mostDistinct(holders []Holder, place func(Holder) string) int {
	known, unknown := places(holders, place)
	return known + unknown
}

// places returns the number of known places, and that of the holders whose place is not known.
func places(holders []Holder, place func(Holder) string) (known, unknown int) {
	seen := map[string]bool{}
	for _, h := range holders {
		if name := place(h); name != "" {
			seen[name] = true
		} else {
			unknown++
		}
	}
	return len(seen), unknown
}
