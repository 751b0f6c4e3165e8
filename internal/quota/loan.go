package quota

import (
	"time"
)

// loanTime is the time for which a loan lasts, from the clock of the owner that it answers. Callers of a customer whose owner
// has died may have to do without the part of their failure domain for as long.
const loanTime = 2 * time.Second

// Loan lends the part of a node to an owner.
type Loan struct {
	Lender string
	// Epoch and Clock are from the owner's latest answer that the lender has. An owner that restarts has another epoch.
	Epoch uint64
	Clock time.Duration
	// Weight is the share of all quotas, 0 to 1; 0 ends the loan.
	Weight float64
	// Sequence orders the messages of a lender.
	Sequence uint64
}

// heldLoan is a loan as its owner holds it. One that has ended early is kept until it would have ended, because an older
// message of the lender may still arrive.
type heldLoan struct {
	weight   float64
	sequence uint64
	since    time.Time
	until    time.Time
}
