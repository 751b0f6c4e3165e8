package quota

import (
	"time"
)

// loanRefresh is the time after which a loan is renewed if no message has renewed it. It is below half of loanTime, because a
// loan ends loanTime after the clock of the answer before.
const loanRefresh = 2 * loanTime / 5

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
}

func newLender(name string, firstSequence uint64, started time.Time) *lender {
	return &lender{name: name, quietUntil: started.Add(loanTime), sequence: firstSequence}
}

// next returns the owner to ask now, and the loan for the message to it. While a loan to another owner than the preferred
// one lasts, calls still get their tokens there.
func (l *lender) next(preferred string, weight float64, now time.Time) (string, Loan) {
	if preferred != l.owner && !now.Before(l.until) {
		l.owner, l.heard, l.until, l.ending = preferred, time.Time{}, time.Time{}, 0
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

// answered records the answer of an owner to the message with the given sequence.
func (l *lender) answered(owner string, sequence, epoch uint64, clock time.Duration, now time.Time) {
	if owner != l.owner {
		return
	}
	if l.ending != 0 && sequence >= l.ending && epoch == l.epoch {
		l.until = now
	}
	if epoch != l.epoch || clock > l.clock || l.heard.IsZero() {
		l.epoch, l.clock, l.heard = epoch, clock, now
	}
}

// introduced reports whether the node has heard from the owner, so that its next message can lend.
func (l *lender) introduced(now time.Time) bool {
	return !l.heard.IsZero() && now.Sub(l.heard) < loanTime
}

// due reports whether a message is due though no call needs a token.
func (l *lender) due(preferred string, now time.Time) bool {
	return preferred != l.owner || now.Sub(l.sent) >= loanRefresh
}

// ended reports whether the loan to the current owner has been ended, so that the next message goes to another.
func (l *lender) ended(now time.Time) bool {
	return l.ending != 0 && !now.Before(l.until)
}
