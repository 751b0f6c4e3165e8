package ingress

import (
	"context"
	"net/http"

	"samphireflow/internal/customer"
	"samphireflow/internal/quota"
)

// Quotas counts the calls of customers over all nodes; *quota.Keeper implements it.
type Quotas interface {
	// Take decides on a call of a limited customer.
	Take(ctx context.Context, c *customer.Customer) quota.Decision
	// Return takes back the permission of a call that certainly has not run.
	Return(d quota.Decision)
}

// takeQuota counts a call against the quota of its customer, if it has one. A call beyond the quota is refused before it is
// sent to any backend server.
func (i *Ingress) takeQuota(ctx context.Context, caller *customer.Customer) (quota.Decision, *refusal) {
	if i.options.Quotas == nil || !caller.Limited() {
		return quota.Decision{}, nil
	}
	decision := i.options.Quotas.Take(ctx, caller)
	switch {
	case decision.Allowed:
		return decision, nil
	case decision.Known:
		return decision, &refusal{http.StatusTooManyRequests, "the quota of the customer is used up", decision.RetryAfter}
	default:
		return decision, notRun("the quota of the customer is not known now", decision.RetryAfter)
	}
}

// returnQuota takes back what takeQuota counted for a call that no backend server can have run.
func (i *Ingress) returnQuota(d *dispatch, decision quota.Decision) {
	if decision.Allowed && !d.mayHaveRun() {
		i.options.Quotas.Return(decision)
	}
}
