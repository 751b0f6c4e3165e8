package claim

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	apiv1 "samphireflow/api/v1"
)

const (
	// finishWait is the longest time that a response is held back until a majority of the holders has recorded it.
	finishWait = 100 * time.Millisecond
	// finishTimeout bounds the requests that send an outcome to the holders.
	finishTimeout = 2 * time.Second
	// watchWait is the time for which a holder holds a watch request open until the other attempt finishes.
	watchWait = time.Second
	// abandonAfter is the time after its deadline at which an unfinished attempt is assumed lost.
	abandonAfter = time.Second
	// staleRetryTimeout bounds the retries of a claim while a change of the set of holders propagates.
	staleRetryTimeout = time.Second
	// staleRetryPause is the mean pause between these retries.
	staleRetryPause = 20 * time.Millisecond
	// splitVotePause is the mean pause before the next claim after a split vote or a released key.
	splitVotePause = 5 * time.Millisecond
)

// Errors of Begin. With any of them but ErrUnknown, the request has not been run for this caller.
var (
	// ErrNoHolders means that too few claim holders of the key's home failure domain respond.
	ErrNoHolders = errors.New("too few claim holders of the key's home failure domain answer")
	// ErrMismatch means that the key was used before for a different request.
	ErrMismatch = errors.New("the key was used before for another request")
	// ErrFull means that a claim holder has no memory left for the claim.
	ErrFull = errors.New("the claim holders have no memory left")
	// ErrUnknown means that an earlier attempt may have run the request and its response is not known.
	ErrUnknown = errors.New("an earlier attempt may have run the request")
)

// Request describes a request with an idempotency key.
type Request struct {
	Key       string
	Digest    []byte
	Deadline  time.Time
	Retention time.Duration
	// HomeKey is the idempotency key as the caller sent it, without the name of the service that Key begins with. It
	// determines the home failure domain.
	HomeKey string
}

// Options configures a client.
type Options struct {
	Instance      string
	Incarnation   uint64
	Configuration func() Configuration
	Peer          func(addr string) apiv1.Claims
	Logger        zerolog.Logger
	Now           func() time.Time
}

// Client claims keys at the holders. It is safe for concurrent use.
type Client struct {
	options     Options
	lastAttempt atomic.Uint64
}

// NewClient returns a client.
func NewClient(options Options) *Client {
	return &Client{options: options}
}

// Begin returns the permit to run a request, the response of an earlier attempt, or an error. Exactly one of the three
// results is set.
func (c *Client) Begin(ctx context.Context, request *Request) (*Permit, *apiv1.StoredCall, error) {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	staleRetryUntil := c.options.Now().Add(staleRetryTimeout)
	for {
		set := Home(request.HomeKey, c.options.Configuration().Assignments)
		if set == nil || len(set.Nodes) == 0 {
			return nil, nil, ErrNoHolders
		}
		round := c.newRound(set, request)
		switch round.vote(ctx) {
		case voteGranted:
			return &Permit{round: round}, nil, nil
		case voteFinished:
			return nil, round.call, nil
		case voteMismatch:
			return nil, nil, ErrMismatch
		case voteFull:
			return nil, nil, ErrFull
		case voteUnavailable:
			return nil, nil, ErrNoHolders
		case voteStale:
			if ctx.Err() != nil || c.options.Now().After(staleRetryUntil) {
				return nil, nil, ErrNoHolders
			}
			pause(ctx, staleRetryPause)
			continue
		}
		if call, err := round.watch(ctx); call != nil || err != nil {
			return nil, call, err
		}
		pause(ctx, splitVotePause)
	}
}

func (c *Client) newRound(set *apiv1.Assignment, request *Request) *round {
	return &round{
		client:  c,
		set:     set,
		request: request,
		attempt: Attempt{c.options.Instance, c.options.Incarnation, c.lastAttempt.Add(1)},
	}
}

// pause waits for a random time around the mean, or until the context ends.
func pause(ctx context.Context, mean time.Duration) {
	timer := time.NewTimer(mean/2 + rand.N(mean))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
