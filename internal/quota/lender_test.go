package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLenderTurnsOnlyAfterTheLoanHasEnded: the part of a node never counts at two owners.
func TestLenderTurnsOnlyAfterTheLoanHasEnded(t *testing.T) {
	began := time.Now()
	now := began.Add(loanTime)
	l := newLender("n", 100, began)
	owner, loan := l.next("x", 0.1, now)
	require.Equal(t, "x", owner)
	require.Zero(t, loan.Weight, "the clock of the owner is not known yet")
	require.True(t, l.answered("x", loan.Sequence, 1, time.Second, now))

	_, loan = l.next("x", 0.1, now)
	require.Equal(t, Loan{"n", 1, time.Second, 0.1, 102}, loan)
	now = now.Add(loanTime / 2)
	owner, loan = l.next("y", 0.1, now)
	require.Equal(t, "x", owner, "calls still get their tokens at the old owner")
	require.Zero(t, loan.Weight)
	owner, _ = l.next("y", 0.1, now.Add(loanTime/2-time.Millisecond))
	require.Equal(t, "x", owner, "the old owner has not answered")
	owner, _ = l.next("y", 0.1, now.Add(loanTime/2))
	require.Equal(t, "y", owner, "the loan has ended")
}

// TestLenderTurnsOnceTheEndIsConfirmed: the answer to the message that ended the loan, not an older one, sets the node free.
func TestLenderTurnsOnceTheEndIsConfirmed(t *testing.T) {
	began := time.Now()
	now := began.Add(loanTime)
	l := newLender("n", 100, began)
	_, loan := l.next("x", 0.1, now)
	l.answered("x", loan.Sequence, 1, time.Second, now)
	_, lent := l.next("x", 0.1, now)
	_, end := l.next("y", 0.1, now)
	require.Zero(t, end.Weight)
	l.answered("x", lent.Sequence, 1, 2*time.Second, now)
	owner, _ := l.next("y", 0.1, now)
	require.Equal(t, "x", owner)
	l.answered("x", end.Sequence, 1, 2*time.Second, now)
	owner, _ = l.next("y", 0.1, now)
	require.Equal(t, "y", owner)
}

// TestRestartedLenderWaits: a loan of the process before the restart may last that long.
func TestRestartedLenderWaits(t *testing.T) {
	began := time.Now()
	l := newLender("n", 100, began)
	_, loan := l.next("x", 0.1, began)
	l.answered("x", loan.Sequence, 1, time.Second, began)
	_, loan = l.next("x", 0.1, began.Add(loanTime-time.Millisecond))
	require.Zero(t, loan.Weight)
	l.answered("x", loan.Sequence, 1, 2*time.Second, began.Add(loanTime))
	_, loan = l.next("x", 0.1, began.Add(loanTime))
	require.Equal(t, 0.1, loan.Weight)
}
