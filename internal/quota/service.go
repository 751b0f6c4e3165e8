package quota

import (
	"context"
	"math"
	"time"

	"github.com/twitchtv/twirp"

	apiv1 "samphireflow/api/v1"
)

// Bounds of messages.
const (
	maxWants     = 64
	maxNodes     = 1 << 16
	maxCalls     = 1 << 16
	maxNameBytes = 256
)

// Service implements the twirp service Quotas for other nodes.
type Service struct {
	keeper *Keeper
}

// NewService returns the service of a keeper.
func NewService(keeper *Keeper) *Service {
	return &Service{keeper}
}

// Ask takes a loan and grants tokens.
func (s *Service) Ask(_ context.Context, request *apiv1.QuotaAskRequest) (*apiv1.QuotaAskResponse, error) {
	if request.Shard >= Shards || len(request.Wants) > maxWants {
		return nil, twirp.InvalidArgumentError("wants", "too many, or the shard is not known")
	}
	for _, want := range request.Wants {
		if len(want.Customer) > maxNameBytes || want.Waiting > maxCalls || want.Ahead > maxCalls || !finite(want.Rate) || !finite(want.Burst) {
			return nil, twirp.InvalidArgumentError("wants", "out of range")
		}
	}
	if loan := request.Loan; loan != nil && (len(loan.Lender) > maxNameBytes || !(loan.Weight >= 0 && loan.Weight <= 1)) {
		return nil, twirp.InvalidArgumentError("loan", "out of range")
	}
	s.keeper.mu.Lock()
	defer s.keeper.mu.Unlock()
	s.keeper.headcount.record(int(min(request.Nodes, maxNodes)), s.keeper.options.Now())
	return s.keeper.handleAsk(request), nil
}

// Transfer gives tokens to the owner in another failure domain.
func (s *Service) Transfer(_ context.Context, request *apiv1.QuotaTransferRequest) (*apiv1.QuotaTransferResponse, error) {
	if request.Shard >= Shards || len(request.Wants) > maxWants {
		return nil, twirp.InvalidArgumentError("wants", "too many, or the shard is not known")
	}
	k := s.keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.options.Now()
	response := &apiv1.QuotaTransferResponse{Tokens: make([]float64, len(request.Wants))}
	for i, want := range request.Wants {
		c := k.options.Customers().ByName(want.Customer)
		if !c.Limited() || !finite(want.Tokens) || ShardOf(want.Customer) != int(request.Shard) {
			continue
		}
		response.Tokens[i] = k.ledger.Give(int(request.Shard), want.Customer, want.Tokens, k.options.Terms.bucketLimit(c.Rate, c.Burst), now)
	}
	return response, nil
}

// handleAsk takes the loan of a request and grants tokens.
func (k *Keeper) handleAsk(request *apiv1.QuotaAskRequest) *apiv1.QuotaAskResponse {
	now := k.options.Now()
	shardIndex := int(request.Shard)
	if loan := request.Loan; loan != nil && loan.Lender != "" {
		k.ledger.Lend(shardIndex, Loan{
			Lender: loan.Lender, Epoch: loan.Epoch, Clock: time.Duration(min(loan.ClockUs, math.MaxInt64/1000)) * time.Microsecond,
			Weight: loan.Weight, Sequence: loan.Sequence,
		}, now)
	}
	response := &apiv1.QuotaAskResponse{Nodes: uint32(k.headcount.most()), Weight: k.ledger.Weight(shardIndex, now)}
	for _, want := range request.Wants {
		rate, burst := want.Rate, want.Burst
		// The own configuration goes first, because the asking node may have an older one with a higher quota.
		if c := k.options.Customers().ByName(want.Customer); c.Limited() {
			rate, burst = c.Rate, c.Burst
		}
		var grant Grant
		if ShardOf(want.Customer) == shardIndex {
			grant = k.ledger.Grant(shardIndex, Want{Customer: want.Customer, Waiting: int(want.Waiting), Ahead: int(want.Ahead), Refused: int(min(want.Refused, maxCalls)), Rate: rate, Burst: burst}, now)
		}
		k.notePull(shardIndex, want.Customer, k.options.Terms.bucketLimit(rate, burst), now)
		response.Grants = append(response.Grants, &apiv1.QuotaGrant{Tokens: uint32(grant.Tokens), RetryAfterMs: uint32(grant.RetryAfter.Milliseconds())})
		k.options.Metrics.granted(grant)
	}
	epoch, clock := k.ledger.Clock(now)
	response.Epoch, response.ClockUs = epoch, uint64(clock.Microseconds())
	return response
}

// notePull notes that a customer lacks tokens here, for the next round.
func (k *Keeper) notePull(shardIndex int, name string, a bucketLimit, now time.Time) {
	if k.pulls[name] == nil && len(k.pulls) < maxBuckets && k.ledger.Lacking(shardIndex, name, a, now) > 0 {
		k.pulls[name] = &pull{}
	}
}

// finite reports whether x is a number that is not negative.
func finite(x float64) bool {
	return x >= 0 && x <= math.MaxFloat32
}

func askRequest(shardIndex int, loan Loan, wants []Want, nodes int) *apiv1.QuotaAskRequest {
	request := &apiv1.QuotaAskRequest{Shard: uint32(shardIndex), Nodes: uint32(nodes)}
	if loan.Lender != "" {
		request.Loan = &apiv1.QuotaLoan{
			Lender: loan.Lender, Epoch: loan.Epoch, ClockUs: uint64(loan.Clock.Microseconds()), Weight: loan.Weight, Sequence: loan.Sequence,
		}
	}
	for _, w := range wants {
		request.Wants = append(request.Wants, &apiv1.QuotaWant{
			Customer: w.Customer, Waiting: uint32(w.Waiting), Ahead: uint32(w.Ahead), Refused: uint32(w.Refused), Rate: w.Rate, Burst: w.Burst,
		})
	}
	return request
}

// parseAnswer returns the grants for the given number of wants.
func parseAnswer(response *apiv1.QuotaAskResponse, wants int) *answer {
	a := &answer{weight: response.Weight}
	for _, grant := range response.Grants[:wants] {
		a.grants = append(a.grants, Grant{Tokens: int(min(grant.Tokens, maxCalls)), RetryAfter: time.Duration(grant.RetryAfterMs) * time.Millisecond})
	}
	return a
}
