package copies

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// group returns holders in the given failure domains, all in one region.
func group(domains ...string) []Holder {
	var holders []Holder
	for i, domain := range domains {
		holders = append(holders, Holder{Addr: fmt.Sprint(domain, i), FailureDomain: domain, Region: "r"})
	}
	return holders
}

// addrs lists the addresses of holders.
func addrs(holders []Holder) []string {
	list := []string{}
	for _, h := range holders {
		list = append(list, h.Addr)
	}
	return list
}

func TestWhichInstancesAreAsked(t *testing.T) {
	one := Tolerance{Instances: 1, FailureDomains: 1}
	for _, c := range []struct {
		name      string
		tolerance Tolerance
		holders   []Holder
		want      []string
	}{
		{"one instance may be lost", one, group("a", "b", "c"), []string{"a0", "b1"}},
		{"the second instance of a failure domain does not survive its loss", one, group("a", "a", "b"), []string{"a0", "b2"}},
		{"two instances may be lost", Tolerance{Instances: 2, FailureDomains: 1}, group("a", "b", "c", "d", "e", "f"), []string{"a0", "b1", "c2"}},
		{"two in two failure domains", Tolerance{Instances: 2, FailureDomains: 1}, group("a", "a", "a", "b"), []string{"a0", "b3", "a1"}},
		{"none may be lost", Tolerance{}, group("a", "b", "c"), []string{"a0"}},
		{"a group of one", one, group("a"), []string{"a0"}},
		{"one failure domain", one, group("a", "a", "a"), []string{"a0", "a1"}},
		{"a smaller group than would be needed", Tolerance{Instances: 3}, group("a", "b"), []string{"a0", "b1"}},
		{"failure domains that are not known yet", one, group("", "", ""), []string{"0", "1", "2"}},
		{"regions", Tolerance{Regions: 1}, []Holder{{"x", "a", "r"}, {"y", "b", "r"}, {"z", "c", "s"}}, []string{"x", "z"}},
		{"nobody", one, nil, []string{}},
	} {
		collection := NewCollection(c.tolerance, c.holders)
		require.Equal(t, c.want, addrs(collection.Next()), c.name)
		require.Empty(t, collection.Next(), c.name)
		require.False(t, collection.Complete(), c.name)
	}
}

// TestInstancesThatFailAreReplaced guards against a record that is acknowledged with too few copies, or never, because an instance
// is away.
func TestInstancesThatFailAreReplaced(t *testing.T) {
	holders := group("a", "b", "c")
	c := NewCollection(Tolerance{Instances: 1, FailureDomains: 1}, holders)
	c.Next()
	c.Stored(holders[0])
	require.False(t, c.Complete(), "one copy")
	c.Failed(holders[1].Addr)
	require.Equal(t, []string{"c2"}, addrs(c.Next()))
	c.GiveUpWaiting()
	require.False(t, c.Complete(), "a side with one instance acknowledges nothing")
	c.Stored(holders[2])
	require.True(t, c.Complete(), "a late answer counts")
	require.Equal(t, []string{"a0", "c2"}, addrs(c.Holders()))
}

// TestFailureDomainThatIsAwayHoldsNothingBack guards against withdrawals that are not acknowledged while a failure domain is cut off.
func TestFailureDomainThatIsAwayHoldsNothingBack(t *testing.T) {
	holders := group("a", "a", "b")
	c := NewCollection(Tolerance{Instances: 1, FailureDomains: 1}, holders)
	require.Equal(t, []string{"a0", "b2"}, addrs(c.Next()))
	require.Equal(t, []string{"a1"}, addrs(c.Rest()))
	c.Stored(holders[0])
	c.Stored(holders[1])
	require.False(t, c.Complete(), "the other failure domain may still answer")
	c.GiveUpWaiting()
	require.True(t, c.Complete())
}

// TestAcknowledgedRecordSurvivesToleratedLosses draws groups, tolerances and answers, and loses all sets of instances, failure domains
// or regions that may be lost.
func TestAcknowledgedRecordSurvivesToleratedLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 7).Draw(t, "size")
		holders := make([]Holder, size)
		for i := range holders {
			domain := rapid.IntRange(0, 3).Draw(t, "domain")
			holders[i] = Holder{Addr: fmt.Sprint(i), FailureDomain: fmt.Sprint("d", domain), Region: fmt.Sprint("r", domain/2)}
		}
		tolerance := Tolerance{rapid.IntRange(0, 3).Draw(t, "instances"), rapid.IntRange(0, 2).Draw(t, "domains"), rapid.IntRange(0, 1).Draw(t, "regions")}
		known := slices.Clone(holders)
		for i := range known {
			if rapid.Bool().Draw(t, "unknown") {
				known[i].FailureDomain, known[i].Region = "", ""
			}
		}
		c := NewCollection(tolerance, known)
		failed := map[string]bool{}
		for !c.Complete() {
			next := c.Next()
			if len(next) == 0 {
				next = c.Rest()
			}
			if len(next) == 0 {
				break
			}
			for _, h := range next {
				if rapid.IntRange(0, 3).Draw(t, "fails") == 0 {
					failed[h.Addr] = true
					c.Failed(h.Addr)
					continue
				}
				c.Stored(holders[slices.IndexFunc(holders, func(other Holder) bool { return other.Addr == h.Addr })])
			}
		}
		sound := slices.DeleteFunc(slices.Clone(holders), func(h Holder) bool { return failed[h.Addr] })
		count := func(list []Holder, place func(Holder) string) int {
			seen := map[string]bool{}
			for _, h := range list {
				seen[place(h)] = true
			}
			return len(seen)
		}
		addr := func(h Holder) string { return h.Addr }
		domain := func(h Holder) string { return h.FailureDomain }
		region := func(h Holder) string { return h.Region }
		if !c.Complete() {
			if len(sound) >= min(tolerance.Instances+1, size) && len(sound) > 0 && len(failed) == 0 {
				t.Fatalf("not acknowledged though all answer: %v, %v", tolerance, holders)
			}
			return
		}
		copies := c.Holders()
		// The copies outlast a loss of n places if they are in more than n. Groups that have no more places cannot.
		for _, loss := range []struct {
			n     int
			place func(Holder) string
			exist int
		}{
			{tolerance.Instances, addr, size}, {tolerance.FailureDomains, domain, count(sound, domain)}, {tolerance.Regions, region, count(sound, region)},
		} {
			if count(copies, loss.place) <= loss.n && count(copies, loss.place) < loss.exist {
				t.Fatalf("copies at %v do not outlast the loss of %d of %v", copies, loss.n, holders)
			}
		}
	})
}
