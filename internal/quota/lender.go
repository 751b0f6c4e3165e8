package quota

import (
	"time"
)

// loanRefresh is the time after which a loan is renewed if no message has renewed it. It is below half of loanTime, because a
// loan ends loanTime after the clock of the answer before.
const loanRefresh = 2 * loanTime / 5

// newOwnerTime is the time for which a node also asks elsewhere if its owner has no tokens: one that has just become the owner
// began with none.
const newOwnerTime = 3 * time.Second

// lender decides to which owner a node lends its part for one shard. At any time the part counts at one owner at most: the
// lender turns to another only after the loan has ended, by its own steady clock, or after the owner has confirmed its end. It
// is not safe for concurrent use.
type lender struct {
	name string
	// quietUntil is the time until which a loan of an earlier process at this address may last.
	quietUntil time.Time
	sequence   uint64

	owner string
	// epoch and clock are from the owner's latest answer, which arrived at heard.
	epoch uint64
	clock time.Duration
	heard time.Time
	// until is the time until which a loan that was sent may count at the owner.
	until time.Time
	// ending is the sequence of the message that ends the loan, 0 if there is none.
	ending uint64
	sent   time.Time
	// turned is the time at which the lender turned to the owner.
	turned time.Time
}

func newLender(name string, firstSequence uint64, started time.Time) *lender {
	return &lender{name: name, quietUntil: started.Add(loanTime), sequence: firstSequence}
}

// next returns the owner to ask now, and the loan for the message to it. While a loan to another owner than the preferred
// one lasts, calls still get their tokens there.
func (l *lender) next(preferred string, weight float64, now time.Time) (string, Loan) {
	if preferred != l.owner && !now.Before(l.until) {
		l.owner, l.heard, l.until, l.ending, l.turned = preferred, time.Time{}, time.Time{}, 0, now
	}
	l.sequence++
	l.sent = now
	loan := Loan{Lender: l.name, Sequence: l.sequence}
	if now.Before(l.quietUntil) || l.heard.IsZero() || now.Sub(l.heard) >= loanTime {
		return l.owner, loan
	}
	loan.Epoch, loan.Clock = l.epoch, l.clock
	switch {
	case preferred != l.owner:
		if l.ending == 0 {
			l.ending = l.sequence
		}
	default:
		l.ending = 0
		loan.Weight = weight
		if until := l.heard.Add(loanTime); until.After(l.until) {
			l.until = until
		}
	}
	return l.owner, loan
}

// answered records the answer of an owner to the message with the given sequence. It reports whether a message should follow
// at once: the first that can lend to this process, or, after the end of a loan, the first to another owner.
func (l *lender) answered(owner string, sequence, epoch uint64, clock time.Duration, now time.Time) bool {
	if owner != l.owner {
		return false
	}
	follow := epoch != l.epoch || l.heard.IsZero() || now.Sub(l.heard) >= loanTime
	if l.ending != 0 && sequence >= l.ending && epoch == l.epoch {
		l.until = now
		follow = true
	}
	if epoch != l.epoch || clock > l.clock || l.heard.IsZero() {
		l.epoch, l.clock, l.heard = epoch, clock, now
	}
	if follow {
		l.sent = time.Time{}
	}
	return follow
}

// newAt reports whether the node has turned to its owner so lately that the owner may have no tokens yet.
func (l *lender) newAt(now time.Time) bool {
	return now.Sub(l.turned) < newOwnerTime
}

// due reports whether a message is due though no call needs a token.
func (l *lender) due(preferred string, now time.Time) bool {
	return preferred != l.owner || now.Sub(l.sent) >= loanRefresh
}
