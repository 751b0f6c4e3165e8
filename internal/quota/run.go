package quota

import (
	"context"
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/routing"
)

// roundInterval is the time between two checks whether loans or transfers are due.
const roundInterval = 100 * time.Millisecond

// Run renews the loans of this node and fetches tokens from other failure domains until the context ends. It sends nothing
// while no customer has a quota.
func (k *Keeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-k.wake:
		}
		if k.options.Customers().HasLimited() {
			k.lend()
			k.fetch()
		}
	}
}

// lend sends the loans that are due and that no call has carried.
func (k *Keeper) lend() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.options.Now()
	for i, l := range k.lenders {
		preferred := k.preferred(i, now)
		if k.sending[i] || !l.due(preferred, now) {
			continue
		}
		addr, loan := l.next(preferred, k.weight(), now)
		if k.silent.silent(addr, now) {
			continue
		}
		k.sending[i] = true
		go func() {
			// A failure is counted by send, and the next round tries again.
			_, _ = k.send(addr, i, loan, nil)
			k.mu.Lock()
			k.sending[i] = false
			k.mu.Unlock()
		}()
	}
}

// fetch asks owners in other failure domains for tokens of the customers that lack them.
func (k *Keeper) fetch() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.options.Now()
	type target struct {
		addr  string
		shard int
	}
	requests := map[target]*apiv1.QuotaTransferRequest{}
	for name, p := range k.pulls {
		if now.Before(p.next) {
			continue
		}
		i := ShardOf(name)
		c := k.options.Customers().ByName(name)
		lacking := 0.0
		if c.Limited() {
			lacking = k.ledger.Lacking(i, name, k.options.Terms.bucketLimit(c.Rate, c.Burst), now)
		}
		if lacking <= 0 {
			delete(k.pulls, name)
			continue
		}
		addr := k.ownerElsewhere(i, p.domain, now)
		p.sent(now)
		if addr == "" {
			continue
		}
		to := target{addr, i}
		if requests[to] == nil {
			requests[to] = &apiv1.QuotaTransferRequest{Shard: uint32(i)}
		}
		if request := requests[to]; len(request.Wants) < maxWants {
			request.Wants = append(request.Wants, &apiv1.QuotaTransferWant{Customer: name, Tokens: lacking})
		}
	}
	for to, request := range requests {
		go k.transfer(to.addr, request, now)
	}
}

// ownerElsewhere returns the owner of a shard in one of the other failure domains, which take turns.
func (k *Keeper) ownerElsewhere(shardIndex, turn int, now time.Time) string {
	var domains []string
	nodes := k.nodes()
	seen := map[string]bool{k.options.FailureDomain: true}
	for _, n := range nodes {
		if !seen[n.FailureDomain] {
			seen[n.FailureDomain] = true
			domains = append(domains, n.FailureDomain)
		}
	}
	if len(domains) == 0 {
		return ""
	}
	domain := domains[turn%len(domains)]
	return owner(nodes, shardIndex, func(n routing.Node) bool { return n.FailureDomain == domain && !k.silent.silent(n.Addr, now) })
}

// transfer sends one request for tokens and adds those that arrive in time.
func (k *Keeper) transfer(addr string, request *apiv1.QuotaTransferRequest, asked time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), k.options.Terms.TransferTime())
	defer cancel()
	k.options.Metrics.transferAsked()
	response, err := k.options.Peer.Transfer(ctx, addr, request)
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.options.Now()
	if err != nil || len(response.Tokens) != len(request.Wants) {
		k.silent.failed(addr, now)
		k.options.Logger.Debug().Err(err).Str("peer", addr).Msg("transfer of quota tokens failed")
		return
	}
	k.silent.answered(addr)
	if now.Sub(asked) >= k.options.Terms.TransferTime() {
		return
	}
	for i, tokens := range response.Tokens {
		want := request.Wants[i]
		c := k.options.Customers().ByName(want.Customer)
		if !c.Limited() || !(tokens >= 0 && tokens <= want.Tokens) {
			continue
		}
		k.ledger.Receive(int(request.Shard), want.Customer, tokens, k.options.Terms.bucketLimit(c.Rate, c.Burst), now)
		k.options.Metrics.transferred(tokens)
		if p := k.pulls[want.Customer]; p != nil {
			p.received(tokens, want.Tokens, now)
		}
	}
}
