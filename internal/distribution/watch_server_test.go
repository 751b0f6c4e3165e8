package distribution

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/member"
)

// fixedSource serves a single version that never changes.
type fixedSource struct {
	history *History
}

func (s fixedSource) History(string) *History                        { return s.history }
func (s fixedSource) Redirect(*apiv1.WatchRequest) *apiv1.Assignment { return nil }
func (s fixedSource) Accepted() uint64                               { return 1 }
func (s fixedSource) Changed() <-chan struct{}                       { return nil }
func (s fixedSource) Age() time.Duration                             { return 0 }
func (s fixedSource) MembersComplete() bool                          { return true }
func (s fixedSource) ControlInstances() []*apiv1.ControlInstance     { return nil }

// TestWatchResponsesAreRateLimited opens many watches for the same snapshot at once. The responses of the first second must
// stay within the burst plus the rate of one second, and every rejected watch must carry a retry delay. Without the limit,
// a reconnect of all watchers at once would overload the server.
func TestWatchResponsesAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		history := NewHistory()
		history.Put(versionOf(1))
		server := NewWatchServer(fixedSource{history}, member.NewHub("relay", 1))
		const watchers = 40 * responseBurst / minResponseCost / 10
		started := time.Now()
		results := make(chan error, watchers)
		for range watchers {
			go func() {
				_, err := server.Watch(context.Background(), &apiv1.WatchRequest{FailureDomain: "north", WaitMs: 1000})
				if err == nil && time.Since(started) > time.Second {
					err = context.DeadlineExceeded
				}
				results <- err
			}()
		}
		served, rejected := 0, 0
		for range watchers {
			switch err := <-results; {
			case err == nil:
				served++
			case isExhausted(t, err):
				rejected++
			}
		}
		require.LessOrEqual(t, served, (responseBurst+responseRate)/minResponseCost)
		require.Positive(t, rejected)
	})
}

func isExhausted(t *testing.T, err error) bool {
	t.Helper()
	refused, ok := err.(twirp.Error)
	if !ok {
		return false
	}
	require.Equal(t, twirp.ResourceExhausted, refused.Code())
	require.NotEmpty(t, refused.Meta(MetaRetryAfter))
	return true
}
