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
	// finishWait bounds the time for which an answer waits until a majority of the holders has recorded it.
	finishWait = 100 * time.Millisecond
	// finishTimeout bounds the sending of an outcome.
	finishTimeout = 2 * time.Second
	// watchWait is the time for which holders are asked to wait for another attempt.
	watchWait = time.Second
	// lateness is the time after its deadline at which an unfinished attempt is given up.
	lateness = time.Second
	// staleWait bounds the time for which claims are tried again while a change of the holders spreads.
	staleWait = time.Second
	// stalePause is the mean pause between such tries.
	stalePause = 20 * time.Millisecond
	// roundPause is the mean pause before another round of claims after a split vote.
	roundPause = 5 * time.Millisecond
)

// Errors of Begin. The request has not been run on behalf of the caller that gets one, unless it is ErrUnknown.
var (
	// ErrNoHolders means that too few claim holders of the key's home answer.
	ErrNoHolders = errors.New("too few claim holders of the key's home failure domain answer")
	// ErrMismatch means that the key was used before for another request.
	ErrMismatch = errors.New("the key was used before for another request")
	// ErrFull means that the claim holders have no memory left.
	ErrFull = errors.New("the claim holders have no memory left")
	// ErrUnknown means that an earlier attempt may have run the request and its answer is not known.
	ErrUnknown = errors.New("an earlier attempt may have run the request")
)

// Request is a keyed request that wants to run.
type Request struct {
	Key       string
	Digest    []byte
	Deadline  time.Time
	Retention time.Duration
	// HomeKey is the key that decides on the home failure domain, without what was put before it.
	HomeKey string
}

// Options are what a client is made of.
type Options struct {
	Instance      string
	Incarnation   uint64
	Configuration func() Configuration
	Peer          func(addr string) apiv1.Claims
	Logger        zerolog.Logger
	Now           func() time.Time
}

// Client gets the right to run keyed requests. It is safe for use by many goroutines.
type Client struct {
	options Options
	number  atomic.Uint64
}

// NewClient returns a client.
func NewClient(options Options) *Client {
	return &Client{options: options}
}

// Begin returns the right to run a request, or the answer of an earlier attempt. Exactly one of the results is set.
func (c *Client) Begin(ctx context.Context, request *Request) (*Permit, *apiv1.StoredCall, error) {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	patience := c.options.Now().Add(staleWait)
	for {
		set := Home(request.HomeKey, c.options.Configuration().Assignments)
		if set == nil || len(set.Nodes) == 0 {
			return nil, nil, ErrNoHolders
		}
		round := c.newRound(set, request)
		switch round.vote(ctx) {
		case verdictGranted:
			return &Permit{round: round}, nil, nil
		case verdictFinished:
			return nil, round.call, nil
		case verdictMismatch:
			return nil, nil, ErrMismatch
		case verdictFull:
			return nil, nil, ErrFull
		case verdictNone:
			return nil, nil, ErrNoHolders
		case verdictStale:
			if ctx.Err() != nil || c.options.Now().After(patience) {
				return nil, nil, ErrNoHolders
			}
			pause(ctx, stalePause)
			continue
		}
		if call, err := round.watch(ctx); call != nil || err != nil {
			return nil, call, err
		}
		pause(ctx, roundPause)
	}
}

func (c *Client) newRound(set *apiv1.Assignment, request *Request) *round {
	return &round{
		client:  c,
		set:     set,
		request: request,
		attempt: Attempt{c.options.Instance, c.options.Incarnation, c.number.Add(1)},
	}
}

// pause waits for about the given time, less when the context ends.
func pause(ctx context.Context, mean time.Duration) {
	timer := time.NewTimer(mean/2 + rand.N(mean))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
