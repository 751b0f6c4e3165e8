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
	initialBackoff    = 50 * time.Millisecond
	maxBackoff        = 500 * time.Millisecond
)

// client calls any one of several instances, for example of the control group. Each of them can answer every call.
type client struct {
	endpoints []*endpoint
	timeout   time.Duration
}

func newClient(addresses []string, timeout time.Duration) *client {
	httpClient := &http.Client{}
	c := &client{timeout: timeout}
	for _, address := range addresses {
		c.endpoints = append(c.endpoints, newEndpoint(address, httpClient))
	}
	return c
}

// attemptTimeout returns the timeout of one attempt: a fraction of the whole timeout, so that an unresponsive instance
// leaves time for attempts at the others. It is at least minAttemptTimeout, or the whole timeout if that is shorter.
func (c *client) attemptTimeout() time.Duration {
	share := c.timeout / time.Duration(len(c.endpoints)+1)
	return max(share, min(minAttemptTimeout, c.timeout))
}

// attempt makes one call to one instance.
type attempt[T any] func(ctx context.Context, to *endpoint) (T, error)

// readWithRetry sends a read to one instance after the other until one responds or the timeout passes. The error wraps
// errUnreachable if none responds, and errRefused if an instance rejects the request.
func readWithRetry[T any](ctx context.Context, c *client, try attempt[T]) (T, error) {
	response, err := sendWithRetry(ctx, c, try, func(T) bool { return true })
	if errors.Is(err, errResponseLost) {
		// A read changes nothing, so a lost response leaves no unknown outcome.
		detail := strings.TrimSuffix(err.Error(), ": "+errResponseLost.Error())
		err = errors.Wrap(errUnreachable, detail)
	}
	return response, err
}

// sendWithRetry sends a request to one instance after the other until one returns a final response or the timeout
// passes. If the timeout passes and no response was lost, it returns the last response, although that one is not final.
//
// The request must be idempotent, because it is sent again if its response was lost. The error wraps errRefused if an
// instance rejects the request, errUnreachable if the request was never sent, and errResponseLost if a response was lost.
func sendWithRetry[T any](ctx context.Context, c *client, try attempt[T], final func(T) bool) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	backoffs := newBackoff()
	failures := &failures{}
	var last *T
	for attempts := 0; ; attempts++ {
		to := c.endpoints[attempts%len(c.endpoints)]
		response, err := tryOnce(ctx, c, to, try)
		if err == nil && final(response) {
			return response, nil
		}
		if err == nil {
			last = &response
		} else if stop := failures.add(to.address, err); stop != nil {
			return response, stop
		}
		if !waitForNextAttempt(ctx, attempts, len(c.endpoints), backoffs) {
			break
		}
	}
	if last != nil && !failures.responseLost {
		return *last, nil
	}
	var zero T
	return zero, failures.error()
}

func tryOnce[T any](ctx context.Context, c *client, to *endpoint, try attempt[T]) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, c.attemptTimeout())
	defer cancel()
	return try(ctx, to)
}

// waitForNextAttempt waits for the next backoff once every instance had an attempt, and returns at once otherwise. It
// reports false if the timeout has passed.
func waitForNextAttempt(ctx context.Context, attempts, instances int, backoffs backoff.BackOff) bool {
	if (attempts+1)%instances != 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(backoffs.NextBackOff())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func newBackoff() backoff.BackOff {
	return backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(initialBackoff),
		backoff.WithMaxInterval(maxBackoff),
		backoff.WithMaxElapsedTime(0),
	)
}
