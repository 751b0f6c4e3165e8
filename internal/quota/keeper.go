package quota

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/customer"
	"samphireflow/internal/routing"
)

const (
	// askTimeout bounds a message to another node. Usually the answer takes less than a millisecond, but it waits behind calls on
	// a link that is full.
	askTimeout = 150 * time.Millisecond
	// unknownRetryAfter is the time after which a caller may retry if no owner could be asked.
	unknownRetryAfter = 250 * time.Millisecond
	// elsewherePause is the time for which a node does not ask owners in other failure domains after a refusal.
	elsewherePause = time.Second
	// maxStocks bounds the customers with tokens at this node. Stocks that hold nothing are dropped first.
	maxStocks = 4096
)

// errNoOwner says that no owner of a customer could be asked.
var errNoOwner = errors.New("no owner of the customer's quota can be reached")

// Options configures a keeper.
type Options struct {
	// Addr is the control address of this node.
	Addr          string
	FailureDomain string
	Terms         Terms
	// Nodes returns the known nodes, nil before the node has heard of them. The slice is not modified.
	Nodes func() []routing.Node
	// Customers returns the customers of the configuration in force, nil before the first one.
	Customers func() *customer.Directory
	Peer      Peer
	Metrics   *Metrics
	Logger    zerolog.Logger
	Now       func() time.Time
	// Epoch differs with each start of this process.
	Epoch uint64
}

// Decision says whether a call may run.
type Decision struct {
	Allowed bool
	// Known is set if the decision is the owner's; otherwise no owner could be asked, and the call is refused.
	Known bool
	// RetryAfter is the time after which there are tokens again. Callers that come back then compete with new calls: a longer
	// time would only make the allowed calls late.
	RetryAfter time.Duration

	customer string
	until    time.Time
}

// Keeper counts the calls of this node's callers against the quotas of their customers, and is the owner of some customers
// for the nodes of its failure domain. It is safe for concurrent use.
type Keeper struct {
	options Options

	mu        sync.Mutex
	ledger    *Ledger
	lenders   [Shards]*lender
	sending   [Shards]bool
	headcount headcount
	// knowsNodes is set once the other nodes are known.
	knowsNodes bool
	silent     silentNodes
	stocks     map[string]*customerStock
	pulls      map[string]*pull
	// wake starts the next round of loans early.
	wake chan struct{}
}

// customerStock is a stock with the question to the owner that is under way, if any.
type customerStock struct {
	stock
	asking bool
	// elsewhereAfter is the time until which owners in other failure domains are not asked.
	elsewhereAfter time.Time
	// next is the round of the calls that wait for the next question.
	next *round
}

// round is a question to the owner for the calls that wait.
type round struct {
	waiting    int
	granted    int
	until      time.Time
	retryAfter time.Duration
	err        error
	done       chan struct{}
}

// NewKeeper returns a keeper without tokens.
func NewKeeper(options Options) *Keeper {
	now := options.Now()
	k := &Keeper{
		options: options, ledger: NewLedger(options.Terms, options.Epoch, now), silent: silentNodes{},
		stocks: map[string]*customerStock{}, pulls: map[string]*pull{}, wake: make(chan struct{}, 1),
	}
	for i := range k.lenders {
		k.lenders[i] = newLender(options.Addr, options.Epoch, now)
	}
	return k
}

// Take decides on a call of a limited customer. An allowed call counts against the quota unless Return is called.
func (k *Keeper) Take(ctx context.Context, c *customer.Customer) Decision {
	k.mu.Lock()
	now := k.options.Now()
	s := k.stock(c.Name)
	s.demand.add(1, now)
	if until, ok := s.take(now); ok {
		if s.size(now) == 0 && s.ahead(now) > 0 && !s.asking && !now.Before(s.refusedUntil) {
			s.asking = true
			go k.ask(c, s)
		}
		k.mu.Unlock()
		return k.decided(Decision{Allowed: true, Known: true, customer: c.Name, until: until})
	}
	if now.Before(s.refusedUntil) {
		s.refused++
		after := s.retryAt.Sub(now)
		k.mu.Unlock()
		return k.decided(Decision{Known: true, RetryAfter: max(after, minRetryAfter)})
	}
	if s.next == nil {
		s.next = &round{done: make(chan struct{})}
	}
	r := s.next
	r.waiting++
	if !s.asking {
		s.asking = true
		go k.ask(c, s)
	}
	k.mu.Unlock()
	select {
	case <-r.done:
	case <-ctx.Done():
		return k.decided(Decision{RetryAfter: unknownRetryAfter})
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case r.granted > 0 && k.options.Now().Before(r.until):
		r.granted--
		return k.decided(Decision{Allowed: true, Known: true, customer: c.Name, until: r.until})
	case r.err != nil || r.granted > 0:
		return k.decided(Decision{RetryAfter: unknownRetryAfter})
	}
	return k.decided(Decision{Known: true, RetryAfter: r.retryAfter})
}

// decided counts a decision.
func (k *Keeper) decided(d Decision) Decision {
	k.options.Metrics.decided(d)
	return d
}

// Return gives back the token of a call that was refused and certainly has not run. It may be spent until the lease that it
// was of ends.
func (k *Keeper) Return(d Decision) {
	if !d.Allowed {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stock(d.customer).add(1, d.until, k.options.Now())
	k.options.Metrics.returned()
}

// stock returns the stock of a customer.
func (k *Keeper) stock(name string) *customerStock {
	s := k.stocks[name]
	if s != nil {
		return s
	}
	if len(k.stocks) >= maxStocks {
		for other, idle := range k.stocks {
			if !idle.asking && idle.size(k.options.Now()) == 0 {
				delete(k.stocks, other)
			}
		}
	}
	s = &customerStock{}
	k.stocks[name] = s
	return s
}

// ask asks the owner for tokens, and again as long as more calls have come to wait meanwhile.
func (k *Keeper) ask(c *customer.Customer, s *customerStock) {
	for {
		k.mu.Lock()
		now := k.options.Now()
		r := s.next
		s.next = nil
		want := Want{Customer: c.Name, Rate: c.Rate, Burst: c.Burst, Ahead: s.ahead(now)}
		if r != nil {
			want.Waiting = r.waiting
		}
		want.Refused, s.refused = s.refused, 0
		k.mu.Unlock()

		grant, err := k.askOwner(want)

		k.mu.Lock()
		answered := k.options.Now()
		until := now.Add(k.options.Terms.LeaseTime())
		if r != nil {
			r.granted, r.until, r.retryAfter, r.err = min(grant.Tokens, r.waiting), until, max(grant.RetryAfter, refusalTime), err
			close(r.done)
		}
		if err == nil && grant.RetryAfter > 0 {
			s.refuse(grant.RetryAfter, answered)
		}
		if err == nil && grant.Tokens < want.Waiting {
			s.elsewhereAfter = answered.Add(elsewherePause)
		}
		s.add(grant.Tokens-want.Waiting, until, answered)
		s.asking = s.next != nil
		again := s.asking
		k.mu.Unlock()
		if !again {
			return
		}
	}
}

// askOwner asks the owner that this node lends to, or the owner of another failure domain if that one cannot be asked or is no
// owner yet.
func (k *Keeper) askOwner(want Want) (Grant, error) {
	shardIndex := ShardOf(want.Customer)
	k.mu.Lock()
	now := k.options.Now()
	addr, loan := k.lenders[shardIndex].next(k.preferred(shardIndex, now), k.weight(), now)
	isNew := k.lenders[shardIndex].newAt(now)
	silent := addr == "" || k.silent.silent(addr, now)
	k.mu.Unlock()
	var known bool
	var grant Grant
	if !silent {
		answer, err := k.send(addr, shardIndex, loan, []Want{want})
		if err == nil {
			known, grant = answer.weight > 0, answer.grants[0]
			if grant.Tokens >= want.Waiting || answer.weight > 0 && !isNew {
				return grant, nil
			}
		}
	}
	other, pause := k.otherOwner(want.Customer, now)
	if !known && other == "" {
		if pause > 0 {
			return Grant{RetryAfter: pause}, nil
		}
		other = k.silentOwner(shardIndex)
	}
	if other != "" {
		k.options.Metrics.askedElsewhere()
		want.Waiting -= grant.Tokens
		if answer, err := k.send(other, shardIndex, loanTo(other, addr, loan), []Want{want}); err == nil && answer.weight > 0 {
			more := answer.grants[0]
			return Grant{grant.Tokens + more.Tokens, more.RetryAfter}, nil
		}
	}
	if known {
		return grant, nil
	}
	return Grant{}, errNoOwner
}

// preferred returns the owner of a shard in this node's failure domain.
func (k *Keeper) preferred(shardIndex int, now time.Time) string {
	own := k.options.Addr
	addr := owner(k.nodes(), shardIndex, func(n routing.Node) bool {
		return n.FailureDomain == k.options.FailureDomain && (n.Addr == own || !k.silent.silent(n.Addr, now))
	})
	if addr == "" {
		return own
	}
	return addr
}

// silentOwner returns the owner of a shard among the other nodes of the own failure domain, also one that has not answered: if
// nobody has, the link of this node may be what failed.
func (k *Keeper) silentOwner(shardIndex int) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return owner(k.nodes(), shardIndex, func(n routing.Node) bool {
		return n.FailureDomain == k.options.FailureDomain && n.Addr != k.options.Addr
	})
}

// loanTo returns the loan for a message to addr: the one to the owner that this node lends to, or none.
func loanTo(addr, lentTo string, loan Loan) Loan {
	if addr == lentTo {
		return loan
	}
	return Loan{}
}

// otherOwner returns the owner of a customer in any other failure domain, empty if there is none or, for the time that it
// returns, if owners there have lately had no tokens.
func (k *Keeper) otherOwner(name string, now time.Time) (addr string, pause time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if s := k.stock(name); now.Before(s.elsewhereAfter) {
		return "", s.elsewhereAfter.Sub(now)
	}
	addr = owner(k.nodes(), ShardOf(name), func(n routing.Node) bool {
		return n.FailureDomain != k.options.FailureDomain && !k.silent.silent(n.Addr, now)
	})
	return addr, 0
}

// nodes returns the known nodes and counts them.
func (k *Keeper) nodes() []routing.Node {
	nodes := k.options.Nodes()
	known := len(nodes)
	k.knowsNodes = k.knowsNodes || nodes != nil
	if !slices.ContainsFunc(nodes, func(n routing.Node) bool { return n.Addr == k.options.Addr }) {
		known++
	}
	k.headcount.record(known, k.options.Now())
	return nodes
}

// weight returns the part of this node. It has none before it has heard of the other nodes.
func (k *Keeper) weight() float64 {
	if !k.knowsNodes {
		return 0
	}
	return 1 / float64(k.headcount.most())
}

// answer is the answer of an owner.
type answer struct {
	grants []Grant
	weight float64
}

// send sends a loan and wants to an owner, which may be this node.
func (k *Keeper) send(addr string, shardIndex int, loan Loan, wants []Want) (*answer, error) {
	var response *apiv1.QuotaAskResponse
	k.mu.Lock()
	request := askRequest(shardIndex, loan, wants, k.headcount.most())
	if addr == k.options.Addr {
		response = k.handleAsk(request)
		k.learn(addr, shardIndex, loan.Sequence, response)
		k.mu.Unlock()
		return parseAnswer(response, len(wants)), nil
	}
	k.mu.Unlock()
	k.options.Metrics.asked(len(wants) > 0)
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	response, err := k.options.Peer.Ask(ctx, addr, request)
	k.mu.Lock()
	defer k.mu.Unlock()
	if err == nil && len(response.Grants) != len(wants) {
		err = errors.New("the answer has another number of grants")
	}
	if err != nil {
		k.options.Metrics.failed()
		k.silent.failed(addr, k.options.Now())
		k.options.Logger.Debug().Err(err).Str("peer", addr).Msg("owner of quotas did not answer")
		return nil, errors.WithMessage(err, "ask the owner of a quota")
	}
	k.silent.answered(addr)
	k.learn(addr, shardIndex, loan.Sequence, response)
	return parseAnswer(response, len(wants)), nil
}

// learn records what the answer of an owner says beside its grants. After its first answer, the loan follows at once.
func (k *Keeper) learn(addr string, shardIndex int, sequence uint64, response *apiv1.QuotaAskResponse) {
	now := k.options.Now()
	k.headcount.record(int(min(response.Nodes, maxNodes)), now)
	clock := time.Duration(min(response.ClockUs, math.MaxInt64/1000)) * time.Microsecond
	if k.lenders[shardIndex].answered(addr, sequence, response.Epoch, clock, now) {
		select {
		case k.wake <- struct{}{}:
		default:
		}
	}
}
