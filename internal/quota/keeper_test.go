package quota

import (
	"context"
	"math"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/customer"
	"samphireflow/internal/routing"
)

// slowPeer answers as the owner "a-owner" or "b-owner" with plenty of tokens, after a time and whatever the deadline is, like a
// message that a frozen process reads once it wakes.
type slowPeer struct {
	takes time.Duration
}

func (p slowPeer) Ask(_ context.Context, _ string, request *apiv1.QuotaAskRequest) (*apiv1.QuotaAskResponse, error) {
	time.Sleep(p.takes)
	response := &apiv1.QuotaAskResponse{Epoch: 1, ClockUs: 1, Nodes: 3, Weight: 0.5}
	for _, want := range request.Wants {
		response.Grants = append(response.Grants, &apiv1.QuotaGrant{Tokens: want.Waiting + 10})
	}
	return response, nil
}

func (p slowPeer) Transfer(_ context.Context, _ string, request *apiv1.QuotaTransferRequest) (*apiv1.QuotaTransferResponse, error) {
	time.Sleep(p.takes)
	response := &apiv1.QuotaTransferResponse{}
	for _, want := range request.Wants {
		response.Tokens = append(response.Tokens, want.Tokens)
	}
	return response, nil
}

var court = &customer.Customer{Name: "court", Rate: 100, Burst: 100}

// newTestKeeper returns a keeper at the given address that knows the nodes of the failure domains a and b.
func newTestKeeper(addr string, peer Peer, nodes ...routing.Node) *Keeper {
	directory := customer.NewDirectory([]customer.Entry{{Customer: court}})
	return NewKeeper(Options{
		Addr: addr, FailureDomain: "a", Terms: testTerms, Epoch: 5, Peer: peer, Logger: zerolog.Nop(), Now: time.Now,
		Nodes: func() []routing.Node { return nodes }, Customers: func() *customer.Directory { return directory },
	})
}

// TestLateAnswerGivesNothing: a node that was frozen reads the answer of the owner after the lease time. Neither the waiting call
// nor the next one gets a token of it.
func TestLateAnswerGivesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newTestKeeper("self", slowPeer{testTerms.LeaseTime()}, routing.Node{Addr: "a-owner", FailureDomain: "a"})
		require.False(t, k.Take(t.Context(), court).Allowed)
		require.Zero(t, k.stocks[court.Name].size(time.Now()))

		prompt := newTestKeeper("self", slowPeer{testTerms.LeaseTime() - time.Millisecond}, routing.Node{Addr: "a-owner", FailureDomain: "a"})
		require.True(t, prompt.Take(t.Context(), court).Allowed)
		require.Equal(t, 10, prompt.stocks[court.Name].size(time.Now()))
	})
}

// TestLateTransferGivesNothing: an owner that was frozen reads the answer of another one late. The other has accrued the tokens
// anew since, so they do not count.
func TestLateTransferGivesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct {
			takes  time.Duration
			tokens int
		}{{testTerms.TransferTime() - time.Millisecond, 8}, {testTerms.TransferTime(), 0}} {
			k := newTestKeeper("self", slowPeer{c.takes})
			shardIndex := ShardOf(court.Name)
			k.ledger.shards[shardIndex].loans["n"] = heldLoan{weight: 0.5, since: time.Now(), until: time.Now().Add(time.Hour)}
			k.ledger.shards[shardIndex].reweigh()
			b := k.ledger.shards[shardIndex].bucket(court.Name, testTerms.bucketLimit(court.Rate, court.Burst), time.Now())
			k.transfer("b-owner", &apiv1.QuotaTransferRequest{
				Shard: uint32(shardIndex), Wants: []*apiv1.QuotaTransferWant{{Customer: court.Name, Tokens: 8}},
			}, time.Now())
			b.settled = time.Now()
			require.Equal(t, c.tokens, k.ledger.Grant(shardIndex, Want{Customer: court.Name, Waiting: 100, Rate: court.Rate, Burst: court.Burst}, time.Now()).Tokens-accrued(c.tokens, c.takes))
		}
	})
}

// accrued returns the tokens that have accrued besides those of a transfer that counted.
func accrued(transferred int, d time.Duration) int {
	if transferred > 0 {
		return int(50 * d.Seconds())
	}
	return 0
}

// TestOwnerGoesByItsOwnConfiguration: a node that has not heard of a lower quota yet asks with the old one.
func TestOwnerGoesByItsOwnConfiguration(t *testing.T) {
	k := newTestKeeper("self", nil)
	shardIndex := ShardOf(court.Name)
	began := time.Now().Add(-time.Hour)
	k.ledger.shards[shardIndex].loans["n"] = heldLoan{weight: 1, since: began, until: time.Now().Add(time.Hour)}
	k.ledger.shards[shardIndex].reweigh()
	response, err := NewService(k).Ask(t.Context(), &apiv1.QuotaAskRequest{
		Shard: uint32(shardIndex), Wants: []*apiv1.QuotaWant{{Customer: court.Name, Waiting: 10_000, Rate: 900, Burst: 900}},
	})
	require.NoError(t, err)
	depth := testTerms.bucketLimit(court.Rate, court.Burst).depth
	require.InDelta(t, depth, float64(response.Grants[0].Tokens), 1)
}

// TestMessagesOutOfRangeAreRefused: other nodes cannot make an owner use much memory or lend more than there is.
func TestMessagesOutOfRangeAreRefused(t *testing.T) {
	s := NewService(newTestKeeper("self", nil))
	tooMany := make([]*apiv1.QuotaWant, maxWants+1)
	for i := range tooMany {
		tooMany[i] = &apiv1.QuotaWant{}
	}
	for name, request := range map[string]*apiv1.QuotaAskRequest{
		"unknown shard":       {Shard: Shards},
		"too many wants":      {Wants: tooMany},
		"long name":           {Wants: []*apiv1.QuotaWant{{Customer: string(make([]byte, maxNameBytes+1))}}},
		"too many calls":      {Wants: []*apiv1.QuotaWant{{Waiting: math.MaxUint32}}},
		"negative rate":       {Wants: []*apiv1.QuotaWant{{Rate: -1}}},
		"rate not a number":   {Wants: []*apiv1.QuotaWant{{Rate: math.NaN()}}},
		"weight above 1":      {Loan: &apiv1.QuotaLoan{Lender: "n", Weight: 2}},
		"weight not a number": {Loan: &apiv1.QuotaLoan{Lender: "n", Weight: math.NaN()}},
	} {
		_, err := s.Ask(t.Context(), request)
		require.Error(t, err, name)
	}
	_, err := s.Transfer(t.Context(), &apiv1.QuotaTransferRequest{Shard: Shards})
	require.Error(t, err)
}

// TestOwnerOverTheNetwork: a node lends its part to the owner over HTTP and gets tokens for it, though it has none itself.
func TestOwnerOverTheNetwork(t *testing.T) {
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	defer server.Close()
	addr := server.Listener.Addr().String()
	nodes := []routing.Node{{Addr: addr, FailureDomain: "a"}}
	ownerKeeper := newTestKeeper(addr, nil, nodes...)
	service := apiv1.NewQuotasServer(NewService(ownerKeeper))
	mux.Handle(service.PathPrefix(), service)

	// The node has started long ago, so it may lend. It owns no shard, because it is not among the nodes.
	node := newTestKeeper("node", HTTPPeer(http.DefaultClient), nodes...)
	for _, l := range node.lenders {
		l.quietUntil = time.Time{}
	}
	require.False(t, node.Take(t.Context(), court).Allowed, "the owner begins with no tokens")
	require.Eventually(t, func() bool { return node.Take(t.Context(), court).Allowed }, 5*time.Second, 10*time.Millisecond)
	require.Positive(t, ownerKeeper.ledger.Weight(ShardOf(court.Name), time.Now()))
}

// failingPeer fails the first messages and then answers.
type failingPeer struct {
	slowPeer
	failures int
}

func (p *failingPeer) Ask(ctx context.Context, addr string, request *apiv1.QuotaAskRequest) (*apiv1.QuotaAskResponse, error) {
	if p.failures > 0 {
		p.failures--
		return nil, errUnreachable
	}
	return p.slowPeer.Ask(ctx, addr, request)
}

// Load pattern: the link of a node is so full that messages to all owners get no answer for some time. The node asks again
// with the next call, because the owners have not failed; calls within the quota are refused no longer than the link is full.
func TestNodeWithAFullLinkAsksAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := []routing.Node{{Addr: "a-owner", FailureDomain: "a"}, {Addr: "b-owner", FailureDomain: "b"}}
		k := newTestKeeper("self", &failingPeer{slowPeer{time.Millisecond}, 6}, nodes...)
		for range 3 {
			d := k.Take(t.Context(), court)
			require.False(t, d.Allowed)
			require.False(t, d.Known, "nobody has said that the quota is used up")
		}
		for range 3 {
			k.Take(t.Context(), court)
		}
		require.True(t, k.Take(t.Context(), court).Allowed)
	})
}
