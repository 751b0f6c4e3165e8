package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var testTerms = Terms{Window: 5 * time.Second, Overrun: 0.1, Slack: 20}

// ledgerAt is a ledger with a clock.
type ledgerAt struct {
	*Ledger
	began, now time.Time
	sequence   uint64
}

func newLedgerAt() *ledgerAt {
	began := time.Now()
	return &ledgerAt{Ledger: NewLedger(testTerms, 7, began), began: began, now: began}
}

// lend renews the loan of a lender by the present clock.
func (l *ledgerAt) lend(lender string, weight float64) {
	l.sequence++
	l.Lend(0, Loan{Lender: lender, Epoch: 7, Clock: l.now.Sub(l.began), Weight: weight, Sequence: l.sequence}, l.now)
}

// pass lets time pass while all lenders renew their loans.
func (l *ledgerAt) pass(d time.Duration, lenders map[string]float64) {
	for end := l.now.Add(d); l.now.Before(end); l.now = l.now.Add(loanRefresh) {
		for name, weight := range lenders {
			l.lend(name, weight)
		}
	}
	l.now = l.now.Add(-loanRefresh)
}

func (l *ledgerAt) grant(calls int) int {
	return l.Grant(0, Want{Customer: "c", Waiting: calls, Rate: 100, Burst: 100}, l.now).Tokens
}

// TestLedgerGrantsNothingAtFirst: a ledger that starts may follow one that has just spent a full bucket, so it begins with none
// and gets them by the rate of its loans.
func TestLedgerGrantsNothingAtFirst(t *testing.T) {
	l := newLedgerAt()
	require.Zero(t, l.grant(10))
	l.lend("a", 0.5)
	require.Zero(t, l.grant(10))
	l.now = l.now.Add(time.Second)
	require.Equal(t, 50, l.grant(1000))
}

// TestUnusedBucketIsAsFullAsItsLoansAreOld: a customer without calls until now has what accrued since the loans began.
func TestUnusedBucketIsAsFullAsItsLoansAreOld(t *testing.T) {
	l := newLedgerAt()
	l.pass(10*time.Second, map[string]float64{"a": 0.25})
	l.lend("b", 0.25)
	l.now = l.now.Add(100 * time.Millisecond)
	depth := testTerms.bucketLimit(100, 100).depth
	require.InDelta(t, 0.25*depth+0.25*100*0.1, float64(l.grant(1000)), 1)
}

// TestLoanEndsByTheClockThatItNames: an owner that was frozen reads a loan late. It counts only until the lender, which has
// waited for its end, may have lent to another.
func TestLoanEndsByTheClockThatItNames(t *testing.T) {
	l := newLedgerAt()
	l.now = l.now.Add(loanTime - time.Millisecond)
	require.True(t, l.Lend(0, Loan{Lender: "a", Epoch: 7, Clock: 0, Weight: 0.5, Sequence: 1}, l.now))
	l.now = l.now.Add(time.Second)
	require.Zero(t, l.Weight(0, l.now))
	require.LessOrEqual(t, l.grant(10), 0)
	require.False(t, l.Lend(0, Loan{Lender: "a", Epoch: 7, Clock: 0, Weight: 0.5, Sequence: 2}, l.now), "the clock is too old")
	require.False(t, l.Lend(0, Loan{Lender: "a", Epoch: 6, Clock: l.now.Sub(l.began), Weight: 0.5, Sequence: 3}, l.now), "another process")
	require.False(t, l.Lend(0, Loan{Lender: "a", Epoch: 7, Clock: time.Hour, Weight: 0.5, Sequence: 4}, l.now), "a clock ahead")
}

// TestEndedLoanDoesNotComeBack: a message that was overtaken by the one that ended the loan does not begin it again.
func TestEndedLoanDoesNotComeBack(t *testing.T) {
	l := newLedgerAt()
	l.Lend(0, Loan{Lender: "a", Epoch: 7, Weight: 0.5, Sequence: 1}, l.now)
	l.Lend(0, Loan{Lender: "a", Epoch: 7, Weight: 0, Sequence: 3}, l.now)
	require.False(t, l.Lend(0, Loan{Lender: "a", Epoch: 7, Weight: 0.5, Sequence: 2}, l.now))
	require.Zero(t, l.Weight(0, l.now))
}

// TestEndOfALoanTakesItsTokens: the part of a lender that has gone is no longer there to be spent.
func TestEndOfALoanTakesItsTokens(t *testing.T) {
	l := newLedgerAt()
	l.pass(10*time.Second, map[string]float64{"a": 0.5, "b": 0.25})
	l.lend("a", 0)
	require.InDelta(t, 0.25*testTerms.bucketLimit(100, 100).depth, float64(l.grant(1000)), 1)
}

// Load pattern: a customer's calls all come to one failure domain, while the owner in another has demand of its own. It gives
// what its own callers will not need soon, and never what it does not have.
func TestTransferLeavesWhatTheOwnCallersNeed(t *testing.T) {
	l := newLedgerAt()
	l.pass(10*time.Second, map[string]float64{"a": 0.5})
	a := testTerms.bucketLimit(100, 100)
	for range 40 {
		l.grant(1)
	}
	held := 0.5*a.depth - 40
	given := l.Give(0, "c", 1000, a, l.now)
	require.Greater(t, given, 0.0)
	require.Less(t, given, held/2)
	require.InDelta(t, held-given, float64(l.grant(1000)), 1)
	require.Zero(t, l.Give(0, "c", 1000, a, l.now))
}

// TestTransferDoesNotOverfill: what is received beyond the depth is lost, because both owners together could spend it at once.
func TestTransferDoesNotOverfill(t *testing.T) {
	l := newLedgerAt()
	l.pass(10*time.Second, map[string]float64{"a": 0.5})
	a := testTerms.bucketLimit(100, 100)
	l.Receive(0, "c", 50, a, l.now)
	require.InDelta(t, 0.5*a.depth, float64(l.grant(1000)), 1)
	l.Receive(0, "c", 20, a, l.now)
	require.Equal(t, 20, l.grant(1000))
}

// TestAllowanceIsWithinTheBound: whatever the settings and the quota are, what may be spent at once and what accrues in a window
// and on the way fit into the bound, and a customer is not cut to less than its rate where the settings leave room.
func TestAllowanceIsWithinTheBound(t *testing.T) {
	for _, terms := range []Terms{testTerms, {}, {Window: time.Second}, {Window: time.Minute, Overrun: 1}, {Window: time.Second, Slack: 1}} {
		for _, quota := range [][2]float64{{1, 0}, {6, 6}, {650, 650}, {650, 1}, {0.1, 100}} {
			a := terms.bucketLimit(quota[0], quota[1])
			span := (terms.window() + terms.LeaseTime() + terms.TransferTime()).Seconds()
			require.LessOrEqual(t, a.rate*span+a.depth, terms.Bound(quota[0], quota[1])+1e-9)
			require.Positive(t, a.rate)
			require.LessOrEqual(t, a.rate, quota[0])
		}
	}
	a := testTerms.bucketLimit(650, 650)
	require.Equal(t, 650.0, a.rate)
	require.GreaterOrEqual(t, a.depth, 650.0)
}

// TestRetryAfterIsTheTimeOfTheNextToken: a refused call is told when there are tokens again.
func TestRetryAfterIsTheTimeOfTheNextToken(t *testing.T) {
	l := newLedgerAt()
	l.pass(10*time.Second, map[string]float64{"a": 0.5})
	want := Want{Customer: "slow", Waiting: 1000, Rate: 2, Burst: 0}
	require.Positive(t, l.Grant(0, want, l.now).Tokens)
	after := l.Grant(0, want, l.now).RetryAfter
	require.Greater(t, after, minRetryAfter)
	l.lend("a", 0.5)
	l.now = l.now.Add(after + time.Millisecond)
	require.Equal(t, 1, l.Grant(0, want, l.now).Tokens)
}
