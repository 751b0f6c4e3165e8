package deployment

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// pollInterval is the time between two checks of a condition that is waited for.
	pollInterval = 50 * time.Millisecond
	// pollTimeout bounds one request of a check.
	pollTimeout = 3 * time.Second
)

var pollClient = &http.Client{Timeout: pollTimeout}

// poll repeats a check until it succeeds. If the context ends first, poll returns the last error of the check.
func poll(ctx context.Context, what string, check func(context.Context) error) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		err := check(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(err, "gave up waiting for %s", what)
		case <-ticker.C:
		}
	}
}

// expectOK sends a GET request to a URL and returns an error unless the response has status 200.
func expectOK(ctx context.Context, url string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.WithStack(err)
	}
	response, err := pollClient.Do(request)
	if err != nil {
		return errors.WithStack(err)
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(io.LimitReader(response.Body, logTailSize))
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s: %s: %s", url, response.Status, body)
	}
	return nil
}
