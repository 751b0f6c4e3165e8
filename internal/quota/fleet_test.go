package quota

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/customer"
	"samphireflow/internal/routing"
)

var errUnreachable = errors.New("unreachable")

// fleet is a number of keepers on virtual time (testing/synctest) whose messages take the time of a network.
type fleet struct {
	terms   Terms
	members []*member
	random  *rand.Rand

	mu        sync.Mutex
	customers map[string]*customer.Customer
	directory *customer.Directory
	// cutDomains holds the failure domains that others cannot reach.
	cutDomains map[string]bool
	// delay is the longest further time that a message takes.
	delay time.Duration
	// offered and allowed hold the times of the calls by customer; unknown counts those refused without a word of an owner.
	offered, allowed map[string][]time.Time
	unknown          int
	// cross counts the messages between failure domains, messages all of them.
	cross, messages int
	// asked counts the messages to each node.
	asked  map[string]int
	epochs uint64
	closed bool
}

// member is a node of a fleet.
type member struct {
	addr, domain string
	keeper       *Keeper
	stop         context.CancelFunc
	down         bool
	// frozenUntil is the time until which the process does not run.
	frozenUntil time.Time
	known       []routing.Node
}

// newFleet starts a fleet with the given number of nodes in each of three failure domains.
func newFleet(t *testing.T, perDomain int, slack float64, customers []*customer.Customer, seed uint64) *fleet {
	f := &fleet{
		terms:  Terms{Window: 5 * time.Second, Overrun: 0.1, Slack: slack},
		random: rand.New(rand.NewPCG(seed, 1)), customers: map[string]*customer.Customer{}, cutDomains: map[string]bool{},
		offered: map[string][]time.Time{}, allowed: map[string][]time.Time{}, asked: map[string]int{},
	}
	f.setCustomers(customers...)
	for _, domain := range []string{"a", "b", "c"} {
		for i := range perDomain {
			f.members = append(f.members, &member{addr: fmt.Sprintf("%s-%d", domain, i), domain: domain, down: true})
		}
	}
	for _, m := range f.members {
		f.start(m)
	}
	f.publish()
	t.Cleanup(f.close)
	return f
}

// close stops all processes and lets the messages under way arrive.
func (f *fleet) close() {
	f.mu.Lock()
	f.closed = true
	for _, m := range f.members {
		m.stop()
	}
	f.mu.Unlock()
	time.Sleep(20 * time.Second)
}

// setCustomers adds customers or changes their quotas, at all nodes at once.
func (f *fleet) setCustomers(customers ...*customer.Customer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range customers {
		f.customers[c.Name] = c
	}
	var entries []customer.Entry
	for _, c := range f.customers {
		entries = append(entries, customer.Entry{Customer: c})
	}
	f.directory = customer.NewDirectory(entries)
}

// publish tells all nodes which nodes are up. Nodes that are cut off keep what they knew.
func (f *fleet) publish() {
	for _, m := range f.members {
		f.publishTo(m)
	}
}

// publishTo tells one node which nodes are up.
func (f *fleet) publishTo(m *member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var known []routing.Node
	for _, other := range f.members {
		if !other.down && f.connected(m.domain, other.domain) {
			known = append(known, routing.Node{Addr: other.addr, FailureDomain: other.domain})
		}
	}
	m.known = known
}

func (f *fleet) setDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// start starts the process of a node.
func (f *fleet) start(m *member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed || !m.down {
		return
	}
	f.epochs += 1 << 32
	epoch := f.epochs
	m.down = false
	keeper := NewKeeper(Options{
		Addr: m.addr, FailureDomain: m.domain, Terms: f.terms, Epoch: epoch, Logger: zerolog.Nop(), Now: time.Now,
		Nodes: func() []routing.Node {
			f.mu.Lock()
			defer f.mu.Unlock()
			return m.known
		},
		Customers: func() *customer.Directory {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.directory
		},
		Peer: fleetPeer{f, m},
	})
	ctx, cancel := context.WithCancel(context.Background())
	m.keeper, m.stop = keeper, cancel
	go func() { _ = keeper.Run(ctx) }()
}

// kill ends the process of a node.
func (f *fleet) kill(m *member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !m.down {
		m.down = true
		m.stop()
	}
}

func (f *fleet) freeze(m *member, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m.frozenUntil = time.Now().Add(d)
}

func (f *fleet) connected(a, b string) bool {
	return a == b || !f.cutDomains[a] && !f.cutDomains[b]
}

func (f *fleet) cut(domain string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cutDomains[domain] = cut
}

// fleetPeer carries the messages of one node.
type fleetPeer struct {
	fleet *fleet
	from  *member
}

func (p fleetPeer) Ask(ctx context.Context, addr string, request *apiv1.QuotaAskRequest) (*apiv1.QuotaAskResponse, error) {
	to, err := p.fleet.carry(ctx, p.from, addr)
	if err != nil {
		return nil, err
	}
	response, err := NewService(to).Ask(ctx, request)
	if err != nil {
		return nil, err
	}
	p.fleet.carryBack(p.from, addr)
	return response, ctx.Err()
}

func (p fleetPeer) Transfer(ctx context.Context, addr string, request *apiv1.QuotaTransferRequest) (*apiv1.QuotaTransferResponse, error) {
	to, err := p.fleet.carry(ctx, p.from, addr)
	if err != nil {
		return nil, err
	}
	response, err := NewService(to).Transfer(ctx, request)
	if err != nil {
		return nil, err
	}
	p.fleet.carryBack(p.from, addr)
	return response, nil
}

// carry takes a message to a node and returns its keeper. It does not look at the deadline while a node is frozen, as the
// timers of a frozen process do not fire either.
func (f *fleet) carry(ctx context.Context, from *member, addr string) (*Keeper, error) {
	f.mu.Lock()
	at := slices.IndexFunc(f.members, func(m *member) bool { return m.addr == addr })
	to := f.members[at]
	keeper, down, connected := to.keeper, to.down, f.connected(from.domain, to.domain)
	latency := time.Millisecond / 2
	if from.domain != to.domain {
		latency = time.Millisecond
		f.cross++
	}
	f.messages++
	f.asked[addr]++
	latency += time.Duration(f.random.Int64N(int64(f.delay) + 1))
	frozen := time.Until(to.frozenUntil)
	f.mu.Unlock()
	time.Sleep(latency)
	if down {
		return nil, errUnreachable
	}
	if !connected {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if frozen > 0 {
		time.Sleep(frozen)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if to.keeper != keeper || to.down {
		return nil, errUnreachable
	}
	return keeper, nil
}

// carryBack takes the answer back.
func (f *fleet) carryBack(to *member, _ string) {
	f.mu.Lock()
	latency := time.Millisecond/2 + time.Duration(f.random.Int64N(int64(f.delay)+1))
	frozen := time.Until(to.frozenUntil)
	f.mu.Unlock()
	time.Sleep(max(latency, frozen))
}

// call makes one call of a customer at a node.
func (f *fleet) call(name string, m *member) {
	f.mu.Lock()
	now := time.Now()
	keeper, c := m.keeper, f.customers[name]
	if m.down || now.Before(m.frozenUntil) {
		f.mu.Unlock()
		return
	}
	f.offered[name] = append(f.offered[name], now)
	f.mu.Unlock()
	d := keeper.Take(context.Background(), c)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !d.Known {
		f.unknown++
	}
	// A call of a process that died meanwhile is not sent on.
	if d.Allowed && m.keeper == keeper && !m.down {
		f.allowed[name] = append(f.allowed[name], time.Now())
	}
}

// source offers the calls of one customer with random gaps at nodes that pick returns, until the fleet's load ends.
type source struct {
	customer  string
	perSecond func(now time.Duration) float64
	pick      func() *member
}

// play offers the calls of the sources for a time.
func (f *fleet) play(duration time.Duration, sources ...source) {
	began := time.Now()
	var running sync.WaitGroup
	for _, s := range sources {
		random := rand.New(rand.NewPCG(f.draw(), 2))
		running.Go(func() {
			var calls sync.WaitGroup
			for {
				rate := s.perSecond(time.Since(began))
				time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
				if time.Since(began) >= duration {
					break
				}
				m := s.pick()
				calls.Go(func() { f.call(s.customer, m) })
			}
			calls.Wait()
		})
	}
	running.Wait()
}

// draw returns a random number.
func (f *fleet) draw() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Uint64()
}

// sorted returns the times of a customer's calls in their order.
func (f *fleet) sorted(calls map[string][]time.Time, name string) []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	times := slices.Clone(calls[name])
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// anywhere picks any node.
func (f *fleet) anywhere() *member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members[f.random.IntN(len(f.members))]
}

// within picks a node of one failure domain.
func (f *fleet) within(domain string) func() *member {
	return func() *member {
		for {
			if m := f.anywhere(); m.domain == domain {
				return m
			}
		}
	}
}

func steadily(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// risesAt is a demand of two calls per second that rises at a time.
func risesAt(at time.Duration, perSecond float64) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now < at {
			return 2
		}
		return perSecond
	}
}

// skewed returns customers whose usual demands follow Zipf's law and sum up to total; each may send 1.6 times as much.
func skewed(count int, total float64) (customers []*customer.Customer, usual []float64) {
	var sum float64
	for i := range count {
		sum += math.Pow(float64(i+1), -1.2)
	}
	for i := range count {
		demand := math.Pow(float64(i+1), -1.2) / sum * total
		usual = append(usual, demand)
		customers = append(customers, &customer.Customer{Name: fmt.Sprintf("c%d", i), Rate: 1.6 * demand, Burst: 1.6 * demand})
	}
	return customers, usual
}

// exceeded returns by how many calls the fullest window of a customer exceeds the bound for the given quota.
func (f *fleet) exceeded(name string, c *customer.Customer, from time.Time) float64 {
	times := f.sorted(f.allowed, name)
	times = times[sortedIndex(times, from):]
	most, first := 0, 0
	for last := range times {
		for times[last].Sub(times[first]) > f.terms.Window {
			first++
		}
		most = max(most, last-first+1)
	}
	return float64(most) - f.terms.Bound(c.Rate, c.Burst)
}

// owed returns how many of the offered calls since from a bucket of the customer's rate and burst would allow.
func (f *fleet) owed(name string, c *customer.Customer, from time.Time) (owed, allowed int) {
	tokens, last := c.Burst, time.Time{}
	for _, at := range f.sorted(f.offered, name) {
		if !last.IsZero() {
			tokens = min(tokens+c.Rate*at.Sub(last).Seconds(), max(c.Burst, 1))
		}
		last = at
		if tokens >= 1 {
			tokens--
			if !at.Before(from) {
				owed++
			}
		}
	}
	all := f.sorted(f.allowed, name)
	return owed, len(all) - sortedIndex(all, from)
}

func sortedIndex(times []time.Time, from time.Time) int {
	at, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	return at
}

func skewedName(i int) string {
	return fmt.Sprintf("c%d", i)
}

// ownerOf returns the owner of a customer in a failure domain.
func (f *fleet) ownerOf(name, domain string) *member {
	f.mu.Lock()
	defer f.mu.Unlock()
	addr := owner(f.members[0].known, ShardOf(name), func(n routing.Node) bool { return n.FailureDomain == domain })
	return f.members[slices.IndexFunc(f.members, func(m *member) bool { return m.addr == addr })]
}

// askedOf returns the number of messages that a node got.
func (f *fleet) askedOf(addr string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.asked[addr]
}
