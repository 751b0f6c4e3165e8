package quota

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"samphireflow/internal/customer"
)

// settleTime is the time after which the parts of a fleet that started at once are lent, and the buckets hold tokens.
const settleTime = 4 * time.Second

// requireServed checks that no customer has exceeded its bound, and that each was allowed the given share of what it is owed.
func requireServed(t *testing.T, f *fleet, share float64) {
	t.Helper()
	var sumOwed, sumAllowed int
	for name, c := range f.customers {
		require.LessOrEqual(t, f.exceeded(name, c, time.Time{}), 0.0, name)
		owed, allowed := f.owed(name, c, time.Time{})
		t.Logf("%s: rate %.1f, owed %d, allowed %d", name, c.Rate, owed, allowed)
		require.GreaterOrEqual(t, float64(allowed), share*float64(owed)-2, name)
		sumOwed, sumAllowed = sumOwed+owed, sumAllowed+min(allowed, owed)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	t.Logf("owed %d, allowed %d, unknown %d, messages %d, of them between failure domains %d", sumOwed, sumAllowed, f.unknown, f.messages, f.cross)
}

func sources(f *fleet, usual []float64) []source {
	var list []source
	for i, demand := range usual {
		list = append(list, source{skewedName(i), steadily(demand), f.anywhere})
	}
	return list
}

// Load pattern: 87 customers of very different size at their usual demand over 92 nodes; most send a node less than a call per
// second. All are within their quotas, so all calls are allowed.
func TestUsualDemandIsAllowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		customers, usual := skewed(87, 1860)
		f := newFleet(t, 31, 20, customers, 1)
		time.Sleep(settleTime)
		f.play(12*time.Second, sources(f, usual)...)
		requireServed(t, f, 0.99)
	})
}

// Load pattern: one customer sends five times its usual demand for some seconds beside 86 with their usual one. It gets what
// its quota allows and no more; the others lose nothing.
func TestHotCustomerGetsItsQuotaAndCostsOthersNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		customers, usual := skewed(87, 1860)
		f := newFleet(t, 31, 20, customers, 2)
		time.Sleep(settleTime)
		list := sources(f, usual)
		const hot = 2
		list[hot].perSecond = func(now time.Duration) float64 {
			if now > 3*time.Second && now < 10*time.Second {
				return 5 * usual[hot]
			}
			return usual[hot]
		}
		f.play(14*time.Second, list...)
		requireServed(t, f, 0.98)
	})
}

// Load pattern: the callers of small customers are all in one failure domain, whose part of their quotas is a third. The
// tokens come from the other failure domains.
func TestTokensFollowTheDemandBetweenFailureDomains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		customers, usual := skewed(60, 600)
		f := newFleet(t, 31, 20, customers, 3)
		time.Sleep(settleTime)
		list := sources(f, usual)
		for i := range list {
			list[i].pick = f.within([]string{"a", "b", "c"}[i%3])
		}
		f.play(20*time.Second, list...)
		requireServed(t, f, 0.95)
	})
}

// Load pattern: a failure domain is cut off for some seconds while all customers send their usual demand and one sends five
// times as much. Both sides go on with the parts of their nodes; the sum over both stays within every quota.
func TestCutFailureDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		customers, usual := skewed(87, 1860)
		f := newFleet(t, 31, 20, customers, 4)
		time.Sleep(settleTime)
		list := sources(f, usual)
		list[0].perSecond = steadily(5 * usual[0])
		time.AfterFunc(4*time.Second, func() { f.cut("c", true) })
		time.AfterFunc(6*time.Second, f.publish)
		time.AfterFunc(10*time.Second, func() { f.cut("c", false) })
		time.AfterFunc(11*time.Second, f.publish)
		f.play(15*time.Second, list...)
		requireServed(t, f, 0.95)
	})
}

// Load pattern: the owners of the largest customer die, one in each failure domain, while it sends five times its usual demand
// beside the others. The next owners begin with no tokens and not before the loans to the dead have ended.
func TestOwnersDie(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		customers, usual := skewed(87, 1860)
		f := newFleet(t, 31, 20, customers, 5)
		time.Sleep(settleTime)
		list := sources(f, usual)
		list[0].perSecond = steadily(5 * usual[0])
		kill := func(domain string) *member { return f.ownerOf(skewedName(0), domain) }
		for i, domain := range []string{"a", "b", "c"} {
			at := time.Duration(3+3*i) * time.Second
			var dead *member
			time.AfterFunc(at, func() { dead = kill(domain); f.kill(dead) })
			time.AfterFunc(at+time.Second, f.publish)
			time.AfterFunc(at+4*time.Second, func() { f.start(dead); f.publish() })
		}
		f.play(16*time.Second, list...)
		// Each failure domain lacks its part for as long as a loan to the dead lasts, and the next owner begins with no burst.
		var sumOwed, sumAllowed int
		for name, c := range f.customers {
			require.LessOrEqual(t, f.exceeded(name, c, time.Time{}), 0.0, name)
			owed, allowed := f.owed(name, c, time.Time{})
			require.GreaterOrEqual(t, float64(allowed), float64(owed)-c.Rate*(loanTime+2*askTimeout).Seconds()-c.Burst, name)
			if name != skewedName(0) {
				sumOwed, sumAllowed = sumOwed+owed, sumAllowed+min(allowed, owed)
			}
		}
		require.GreaterOrEqual(t, float64(sumAllowed), 0.98*float64(sumOwed), "the other customers")
	})
}

// Load pattern: nodes are stopped and started in turn, a third of a failure domain in ten seconds, at the usual demand.
func TestNodesAreReplacedInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		customers, usual := skewed(87, 1860)
		f := newFleet(t, 31, 20, customers, 6)
		time.Sleep(settleTime)
		for i := range 10 {
			at := 2*time.Second + time.Duration(i)*time.Second
			m := f.members[i*9]
			time.AfterFunc(at, func() { f.kill(m) })
			time.AfterFunc(at+time.Second, f.publish)
			time.AfterFunc(at+2*time.Second, func() { f.start(m); f.publish() })
		}
		f.play(15*time.Second, sources(f, usual)...)
		requireServed(t, f, 0.97)
	})
}

// Load pattern: the quota of a customer that sends more than it may is lowered to a fifth. The lower one holds one window
// after the change at the latest.
func TestLowerQuotaHoldsAfterAWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		large := &customer.Customer{Name: "c0", Rate: 300, Burst: 300}
		f := newFleet(t, 31, 20, []*customer.Customer{large}, 7)
		time.Sleep(settleTime)
		small := &customer.Customer{Name: "c0", Rate: 60, Burst: 60}
		var lowered time.Time
		time.AfterFunc(5*time.Second, func() { f.setCustomers(small); lowered = time.Now() })
		f.play(18*time.Second, source{"c0", steadily(600), f.anywhere})
		require.LessOrEqual(t, f.exceeded("c0", large, time.Time{}), 0.0)
		require.LessOrEqual(t, f.exceeded("c0", small, lowered), 0.0)
		_, allowed := f.owed("c0", small, lowered)
		require.GreaterOrEqual(t, float64(allowed), 0.95*60*12)
	})
}

// Load pattern: one customer sends nine times its usual demand, more than five times what it may. Its owners, which are ordinary
// nodes with thin links, are asked a few times a second by each node and not for each call.
func TestOwnerOfAHotCustomerIsNotAskedForEachCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hot := &customer.Customer{Name: "c0", Rate: 960, Burst: 960}
		f := newFleet(t, 31, 20, []*customer.Customer{hot}, 8)
		time.Sleep(settleTime)
		addr := f.ownerOf(hot.Name, "b").addr
		const seconds = 8
		before := f.askedOf(addr)
		f.play(seconds*time.Second, source{hot.Name, steadily(9 * 600), f.anywhere})
		// A question of each node after each pause, and the loans of another shard or two that the owner may have.
		perNode := 1/refusalTime.Seconds() + 2/loanRefresh.Seconds()
		// Until the bucket is empty, nodes ask for what they keep.
		atFirst := hot.Burst
		t.Logf("asked %d times", f.askedOf(addr)-before)
		require.LessOrEqual(t, float64(f.askedOf(addr)-before), 31*perNode*seconds+atFirst)
		requireServed(t, f, 0.95)
	})
}
