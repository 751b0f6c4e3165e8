package cli

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v4"
	"github.com/pkg/errors"
)

const (
	minAttemptTimeout = 500 * time.Millisecond
	firstPause        = 50 * time.Millisecond
	longestPause      = 500 * time.Millisecond
)

// group is the control group as the tool sees it: any instance may answer any call.
type group struct {
	endpoints []*endpoint
	timeout   time.Duration
}

func newGroup(addresses []string, timeout time.Duration) *group {
	client := &http.Client{}
	g := &group{timeout: timeout}
	for _, address := range addresses {
		g.endpoints = append(g.endpoints, newEndpoint(address, client))
	}
	return g
}

// attemptTimeout bounds one attempt, so that a silent instance leaves time for the others, in any timeout.
func (g *group) attemptTimeout() time.Duration {
	share := g.timeout / time.Duration(len(g.endpoints)+1)
	return max(share, min(minAttemptTimeout, g.timeout))
}

// attempt is one call to one instance.
type attempt[T any] func(ctx context.Context, to *endpoint) (T, error)

// read makes attempts at one instance after the other until one answers or the timeout passes. The error wraps
// errUnreachable when none answers.
func read[T any](ctx context.Context, g *group, try attempt[T]) (T, error) {
	answer, err := send(ctx, g, try, func(T) bool { return true })
	if errors.Is(err, errAnswerLost) {
		// A read has no effect that could be in doubt.
		detail := strings.TrimSuffix(err.Error(), ": "+errAnswerLost.Error())
		err = errors.Wrap(errUnreachable, detail)
	}
	return answer, err
}

// send makes attempts at one instance after the other until one gives a final answer or the timeout passes. The
// last answer that is not final is returned then.
//
// The request must be idempotent: an attempt whose answer was lost is made again elsewhere. The error wraps
// errUnreachable when no attempt was sent, and errAnswerLost when one was sent and not answered.
func send[T any](ctx context.Context, g *group, try attempt[T], final func(T) bool) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, g.timeout)
	defer cancel()
	pauses := newPauses()
	failures := &failures{}
	var last *T
	for turn := 0; ; turn++ {
		to := g.endpoints[turn%len(g.endpoints)]
		answer, err := tryOnce(ctx, g, to, try)
		if err == nil && final(answer) {
			return answer, nil
		}
		if err == nil {
			last = &answer
		} else if stop := failures.add(to.address, err); stop != nil {
			return answer, stop
		}
		if !pause(ctx, turn, len(g.endpoints), pauses) {
			break
		}
	}
	if last != nil && !failures.lostAnswer {
		return *last, nil
	}
	var none T
	return none, failures.error()
}

func tryOnce[T any](ctx context.Context, g *group, to *endpoint, try attempt[T]) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, g.attemptTimeout())
	defer cancel()
	return try(ctx, to)
}

// pause waits after each round of the instances. It reports false when the time is over.
func pause(ctx context.Context, turn, instances int, pauses backoff.BackOff) bool {
	if (turn+1)%instances != 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(pauses.NextBackOff())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func newPauses() backoff.BackOff {
	return backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(firstPause),
		backoff.WithMaxInterval(longestPause),
		backoff.WithMaxElapsedTime(0),
	)
}
