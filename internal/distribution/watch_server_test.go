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

// fixedSource hands down one version for ever.
type fixedSource struct {
	history *History
}

func (s fixedSource) History(string) *History                        { return s.history }
func (s fixedSource) Redirect(*apiv1.WatchRequest) *apiv1.Assignment { return nil }
func (s fixedSource) Accepted() uint64                               { return 1 }
func (s fixedSource) Changed() <-chan struct{}                       { return nil }
func (s fixedSource) Age() time.Duration                             { return 0 }
func (s fixedSource) MembersComplete() bool                          { return true }
func (s fixedSource) ControlAddrs() []string                         { return nil }

// TestStormOfWatchersIsBounded asks for the same snapshot many times at once: what is sent in the first second stays
// below the burst and one second's rate, and who is sent away is told when to come back.
func TestStormOfWatchersIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		history := NewHistory()
		history.Put(versionOf(1))
		server := NewWatchServer(fixedSource{history}, member.NewHub("relay", 1))
		const watchers = 40 * answerBurst / answerCost / 10
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
		served, sentAway := 0, 0
		for range watchers {
			switch err := <-results; {
			case err == nil:
				served++
			case isExhausted(t, err):
				sentAway++
			}
		}
		require.LessOrEqual(t, served, (answerBurst+answerRate)/answerCost)
		require.Positive(t, sentAway)
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
