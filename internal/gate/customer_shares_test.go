package gate

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// sender is a customer of a replay.
type sender struct {
	name   string
	weight float64
	// rate is the number of calls per second.
	rate         float64
	sent, served int
}

// completions are the times at which the running calls of a replay end, the earliest first.
type completions []time.Time

func (c completions) Len() int           { return len(c) }
func (c completions) Less(i, j int) bool { return c[i].Before(c[j]) }
func (c completions) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *completions) Push(x any)        { *c = append(*c, x.(time.Time)) }
func (c *completions) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// replay sends the calls of customers to a queue with nine slots for 30 seconds and counts which are served. A call takes
// 100 ms on average.
func replay(senders []*sender, named bool) {
	random := rand.New(rand.NewPCG(3, 5))
	q := NewQueue(9)
	var running completions
	waiting := map[*Entry]*sender{}
	now := epoch
	total := 0.0
	for _, s := range senders {
		total += s.rate
	}
	finish := func() { heap.Push(&running, now.Add(time.Duration(random.ExpFloat64()*float64(100*time.Millisecond)))) }
	for now.Before(epoch.Add(30 * time.Second)) {
		next := now.Add(time.Duration(random.ExpFloat64() / total * float64(time.Second)))
		for len(running) > 0 && running[0].Before(next) {
			now = heap.Pop(&running).(time.Time)
			q.Release("lookup", 100*time.Millisecond, now)
			for e, s := range waiting {
				if decision, decided := receiveDecision(e); decided {
					delete(waiting, e)
					if decision.Action == Run {
						s.served++
						finish()
					}
				}
			}
		}
		now = next
		s := pickSender(senders, random.Float64()*total)
		s.sent++
		e := entryAt(now, 1)
		if named {
			e.Customer, e.Weight = s.name, s.weight
		}
		switch q.Admit(e, now).Action {
		case Run:
			s.served++
			finish()
		case Wait:
			waiting[e] = s
		}
	}
}

func pickSender(senders []*sender, point float64) *sender {
	for _, s := range senders {
		if point < s.rate {
			return s
		}
		point -= s.rate
	}
	return senders[len(senders)-1]
}

// skewedSenders returns twenty customers whose usual rates add up to the given number of calls per second. The largest one
// sends hot times its usual rate.
func skewedSenders(total, hot float64) []*sender {
	var senders []*sender
	sum := 0.0
	for i := range 20 {
		sum += 1 / float64(i+1)
	}
	for i := range 20 {
		usual := total / sum / float64(i+1)
		senders = append(senders, &sender{name: fmt.Sprint("c", i), weight: 1.6 * usual, rate: usual})
	}
	senders[0].rate *= hot
	return senders
}

func servedShare(senders []*sender) float64 {
	sent, served := 0, 0
	for _, s := range senders {
		sent += s.sent
		served += s.served
	}
	return float64(served) / float64(sent)
}

// TestHotCustomerDoesNotPushOutOthers replays one customer at five times its usual rate beside 19 usual ones, whose calls
// fill 85% of the slots while all send as usual. The others are to be served nearly as if it did not; without shares they pay
// as much as the customer that causes the overload.
func TestHotCustomerDoesNotPushOutOthers(t *testing.T) {
	const usual = 0.85 * 90
	calm, hot, blind := skewedSenders(usual, 1), skewedSenders(usual, 5), skewedSenders(usual, 5)
	replay(calm, true)
	replay(hot, true)
	replay(blind, false)
	require.Less(t, servedShare(blind[1:]), 0.75, "without shares")
	require.Greater(t, servedShare(hot[1:]), 0.95*servedShare(calm[1:]))
	// It sends 2.1 times as much as all others, and keeps its own share of the slots.
	require.Greater(t, float64(hot[0].served), 0.9*float64(calm[0].served))
}

// TestSharesCostNothingWhileCustomersSendAsUsual replays a lasting overload by all customers alike: no customer is served less
// than half as often as all, and as many calls are served as without shares.
func TestSharesCostNothingWhileCustomersSendAsUsual(t *testing.T) {
	named, blind := skewedSenders(1.6*90, 1), skewedSenders(1.6*90, 1)
	replay(named, true)
	replay(blind, false)
	require.Greater(t, servedShare(named), 0.97*servedShare(blind))
	for _, s := range named {
		require.Greater(t, servedShare([]*sender{s}), 0.5*servedShare(named), s.name)
	}
}

// TestRetryAfterLeadsBackIntoTheShare: a customer that stays away for the time that it is told is within its share again
// just then, if the others go on.
func TestRetryAfterLeadsBackIntoTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewCustomerShares()
		now := epoch
		own := rapid.IntRange(10, 200).Draw(t, "calls of the customer")
		other := rapid.IntRange(1, 50).Draw(t, "calls of the others")
		for range own {
			s.Charge("court", 3, 100*time.Millisecond, now)
		}
		for range other {
			s.Charge("council", 5, 100*time.Millisecond, now)
		}
		wait := s.TimeToShare("court", now)
		// An excess of less than a nanosecond of a slot is that of rounding.
		if s.Excess("court", now) < time.Nanosecond.Seconds() {
			require.Zero(t, wait)
			return
		}
		require.Positive(t, wait)
		// The others go on so that the work of all stays the same.
		total := s.usage["court"].work + s.usage["council"].work
		left := s.usage["court"].work * math.Exp2(-wait.Seconds()/usageHalfLife.Seconds())
		*s.usage["council"] = customerUsage{work: total - left, calls: 10 * (total - left), weight: 5, at: now.Add(wait)}
		require.InDelta(t, 0, s.Excess("court", now.Add(wait)), 1e-6)
	})
}

func TestCustomersWithoutWeightCountAsTheMean(t *testing.T) {
	s := NewCustomerShares()
	for range 20 {
		s.Charge("a", 100, 100*time.Millisecond, epoch)
		s.Charge("b", 300, 100*time.Millisecond, epoch)
		s.Charge("c", 0, 100*time.Millisecond, epoch)
	}
	require.Positive(t, s.Excess("a", epoch), "half of the mean weight, the same work")
	require.Negative(t, s.Excess("b", epoch))
	require.Negative(t, s.Excess("c", epoch))
	require.Zero(t, s.Excess("d", epoch))
	require.Zero(t, s.Excess("a", epoch.Add(time.Minute)), "work is forgotten")
}

// TestRefusalsForTheShareAreToldApart: a customer that is over its share is told so, one that meets a full queue is not.
func TestRefusalsForTheShareAreToldApart(t *testing.T) {
	q := fullQueue(1)
	for range 20 {
		q.customers.Charge("court", 1, 100*time.Millisecond, epoch)
		q.customers.Charge("council", 3, 20*time.Millisecond, epoch)
	}
	within, over := entryAt(epoch, 1), entryAt(epoch, 1)
	within.Customer, over.Customer = "council", "court"
	within.FinishBy, over.FinishBy = epoch.Add(time.Second), epoch.Add(time.Second)
	require.Equal(t, Wait, q.Admit(within, epoch).Action)
	decision := q.Admit(over, epoch)
	require.Equal(t, Refuse, decision.Action)
	require.True(t, decision.OverShare)
	require.Equal(t, q.customers.TimeToShare("court", epoch), decision.RetryAfter)
	late := entryAt(epoch, 1)
	late.Customer, late.FinishBy = "council", epoch
	decision = q.Admit(late, epoch)
	require.Equal(t, Refuse, decision.Action)
	require.False(t, decision.OverShare)
}
