package claim

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/periodic"
)

const (
	// maxWait is the longest time for which a holder holds a request open until a claim changes.
	maxWait = 5 * time.Second
	// pageLimit is the largest number of claims in one response to a sync request.
	pageLimit = 2000
	// syncInterval is the time between two attempts to sync.
	syncInterval = 250 * time.Millisecond
	// syncTimeout bounds one attempt to sync.
	syncTimeout = 10 * time.Second
)

// Configuration is the part of the applied configuration that holders and clients read.
type Configuration struct {
	Assignments []*apiv1.Assignment
	// Retention is the longest retention of any route.
	Retention time.Duration
}

// HolderOptions configures a holder.
type HolderOptions struct {
	Instance      string
	FailureDomain string
	Incarnation   uint64
	// Configuration returns the applied configuration.
	Configuration func() Configuration
	// Peer returns the client of the holder at a control address.
	Peer   func(addr string) apiv1.Claims
	Logger zerolog.Logger
	Now    func() time.Time
}

// Holder implements the twirp service Claims. It votes on the claims of its failure domain while it is in the set of
// holders and synced.
type Holder struct {
	options HolderOptions

	mu         sync.Mutex
	store      *Store
	membership *Membership
}

// NewHolder returns a holder without claims.
func NewHolder(options HolderOptions) *Holder {
	return &Holder{
		options:    options,
		store:      NewStore(),
		membership: NewMembership(options.Instance, options.Incarnation, options.Now()),
	}
}

// HTTPPeer returns a function that makes the HTTP client of the holder at an address.
func HTTPPeer(client *http.Client) func(addr string) apiv1.Claims {
	return func(addr string) apiv1.Claims {
		return apiv1.NewClaimsProtobufClient("http://"+addr, client)
	}
}

// updateMembership applies the current configuration to the membership. The caller holds mu.
func (h *Holder) updateMembership(now time.Time) {
	configuration := h.options.Configuration()
	h.membership.Update(holderSet(configuration.Assignments, h.options.FailureDomain), now)
	h.membership.SyncByExpiry(configuration.Retention, now)
}

// Claim grants or refuses a claim. If another attempt holds the key, it waits up to the requested time until that claim
// changes.
func (h *Holder) Claim(ctx context.Context, request *apiv1.ClaimRequest) (*apiv1.ClaimResponse, error) {
	wait := min(time.Duration(request.WaitMs)*time.Millisecond, maxWait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		response, changed := h.claim(request)
		if response.Status != apiv1.ClaimStatus_CLAIM_STATUS_TAKEN || changed == nil {
			return response, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return response, nil
		}
	}
}

func (h *Holder) claim(request *apiv1.ClaimRequest) (*apiv1.ClaimResponse, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.options.Now()
	h.updateMembership(now)
	if status, ok := h.membership.Check(request.FailureDomain, request.Epoch); !ok {
		return &apiv1.ClaimResponse{Status: status}, nil
	}
	response := h.store.Claim(request, now)
	if response.Status != apiv1.ClaimStatus_CLAIM_STATUS_TAKEN || request.WaitMs == 0 {
		return response, nil
	}
	return response, h.store.Changed(request.Key)
}

// Finish records the outcome of an attempt.
func (h *Holder) Finish(_ context.Context, request *apiv1.FinishRequest) (*apiv1.FinishResponse, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return &apiv1.FinishResponse{Recorded: h.store.Finish(request, h.options.Now())}, nil
}

// Sync lists the claims for another holder of the same epoch.
func (h *Holder) Sync(_ context.Context, request *apiv1.SyncClaimsRequest) (*apiv1.SyncClaimsResponse, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.options.Now()
	h.updateMembership(now)
	if _, ok := h.membership.Check(request.FailureDomain, request.Epoch); !ok {
		return &apiv1.SyncClaimsResponse{}, nil
	}
	limit := int(request.Limit)
	if limit == 0 || limit > pageLimit {
		limit = pageLimit
	}
	claims, more := h.store.Page(request.AfterKey, limit, now)
	return &apiv1.SyncClaimsResponse{Synced: true, Claims: claims, More: more}, nil
}

// Run syncs the holder whenever it lacks earlier claims, until the context ends.
func (h *Holder) Run(ctx context.Context) error {
	return periodic.Run(ctx, syncInterval, func(_ time.Time) {
		h.SyncOnce(ctx)
	})
}

// SyncOnce reads the claims of the other holders if this one lacks earlier claims. It reports whether the holder votes
// afterwards.
func (h *Holder) SyncOnce(ctx context.Context) bool {
	set := h.setToSync()
	if set == nil {
		return h.Synced()
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	var mu sync.Mutex
	others := 0
	var group errgroup.Group
	for _, node := range set.Nodes {
		if node.Instance == h.options.Instance {
			continue
		}
		group.Go(func() error {
			if err := h.syncFrom(ctx, set, node); err != nil {
				h.options.Logger.Debug().Err(err).Str("peer", node.Instance).Msg("reading the claims of another holder failed")
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			others++
			return nil
		})
	}
	_ = group.Wait()
	return h.finishSync(set, others)
}

func (h *Holder) setToSync() *apiv1.Assignment {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.options.Now()
	h.updateMembership(now)
	return h.membership.SetToSync(now)
}

func (h *Holder) finishSync(set *apiv1.Assignment, others int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.updateMembership(h.options.Now())
	if !h.membership.CompleteSync(set.Epoch, others) {
		return false
	}
	h.options.Logger.Info().Uint64("epoch", set.Epoch).Int("claims", h.store.Len()).Msg("claims synced")
	return true
}

// errAbstains is returned when another holder cannot provide its claims.
var errAbstains = errors.New("the holder abstains or has another epoch")

// syncFrom merges the claims of another holder into the store, page by page.
func (h *Holder) syncFrom(ctx context.Context, set *apiv1.Assignment, node *apiv1.AssignedNode) error {
	client := h.options.Peer(node.ControlAddr)
	request := &apiv1.SyncClaimsRequest{
		FailureDomain: set.FailureDomain,
		Epoch:         set.Epoch,
		Instance:      h.options.Instance,
		Limit:         pageLimit,
	}
	for {
		response, err := client.Sync(ctx, request)
		if err != nil {
			return errors.Wrap(err, "sync")
		}
		if !response.Synced {
			return errAbstains
		}
		h.merge(response.Claims)
		if !response.More || len(response.Claims) == 0 {
			return nil
		}
		request.AfterKey = response.Claims[len(response.Claims)-1].Key
	}
}

func (h *Holder) merge(claims []*apiv1.Claim) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.options.Now()
	for _, claim := range claims {
		h.store.Merge(claim, now)
	}
}

// Synced reports whether the holder is in the set of holders and synced, so that it votes.
func (h *Holder) Synced() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.membership.member && h.membership.synced
}

// Size returns the number of claims and their accounted memory in bytes.
func (h *Holder) Size() (claims, bytes int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.store.Len(), h.store.Bytes()
}
