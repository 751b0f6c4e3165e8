package deployment

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// pollInterval is the time between two looks at something that is waited for.
	pollInterval = 50 * time.Millisecond
	// pollTimeout bounds one look.
	pollTimeout = 3 * time.Second
)

var pollClient = &http.Client{Timeout: pollTimeout}

// poll tries until the check gives no error. When the context ends first, the error is the check's last one.
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
			return errors.Wrapf(err, "waited in vain for %s", what)
		case <-ticker.C:
		}
	}
}

// expectOK asks a URL and returns an error unless the answer is 200.
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
