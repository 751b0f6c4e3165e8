package distribution

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/twitchtv/twirp"
	"golang.org/x/time/rate"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/member"
)

const (
	// maxWatchWait is the longest time that a watch is held open.
	maxWatchWait = 30 * time.Second
	// responseRate bounds the bytes that a watch server sends each second, and responseBurst the bytes that it sends at
	// once.
	responseRate  = 16 << 20
	responseBurst = 16 << 20
	// minResponseCost is the number of bytes that the smallest response counts for, so that the rate also bounds the number
	// of responses each second.
	minResponseCost = 4 << 10
	// maxAdmissionWait is the longest time that a response waits for the rate limit. If it had to wait longer, the watch is
	// rejected at once.
	maxAdmissionWait = 2 * time.Second
	// MetaRetryAfter is the error metadata key of a rejected watch. Its value is the delay before a retry in milliseconds.
	MetaRetryAfter = "retry_after_ms"
)

// WatchServer serves the watch requests of nodes and relays.
type WatchServer struct {
	source  Source
	members *memberUpdates
	hub     *member.Hub
	limiter *rate.Limiter
	stats   *ServingStats
	// stopping is closed by Stop.
	stopping chan struct{}
	stopOnce sync.Once
}

// NewWatchServer returns a server for the versions of a source and the members of a hub.
func NewWatchServer(source Source, hub *member.Hub) *WatchServer {
	return &WatchServer{
		source:  source,
		hub:     hub,
		members: newMemberUpdates(hub),
		limiter: rate.NewLimiter(responseRate, responseBurst),
		stats:   newServingStats(),

		stopping: make(chan struct{}),
	}
}

// Stats returns the statistics of the versions that this server sends.
func (s *WatchServer) Stats() *ServingStats {
	return s.stats
}

// Stop ends all open watches, so that the watchers fail over to another process at once.
func (s *WatchServer) Stop() {
	s.stopOnce.Do(func() { close(s.stopping) })
}

// Watch responds as soon as there is something that the watcher does not have, or when its wait time ends (twirp service
// Distribution).
func (s *WatchServer) Watch(ctx context.Context, request *apiv1.WatchRequest) (*apiv1.WatchResponse, error) {
	if request.FailureDomain == "" {
		return nil, twirp.RequiredArgumentError("failure_domain")
	}
	timeout := time.NewTimer(min(time.Duration(request.WaitMs)*time.Millisecond, maxWatchWait))
	defer timeout.Stop()
	membersDue := time.NewTimer(time.Duration(request.MembersAfterMs) * time.Millisecond)
	defer membersDue.Stop()
	wantMembers := request.MembersAfterMs == 0
	stale := s.staleTimer(request)
	if stale != nil {
		defer stale.Stop()
	}
	for {
		changed, flushed := s.source.Changed(), s.hub.Flushed()
		response := s.buildResponse(request, wantMembers)
		if !isEmpty(response) || response.Relays.GetEpoch() > request.RelaysEpoch {
			if err := s.admit(ctx, response); err != nil {
				return nil, err
			}
			if response.Snapshot != nil || response.Delta != nil {
				s.stats.recordResponse(response.Snapshot, response.Delta, time.Now())
			}
			return response, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-s.stopping:
			return nil, twirp.NewError(twirp.Unavailable, "this process stops")
		case <-timeout.C:
			return response, nil
		case <-membersDue.C:
			wantMembers = true
		case <-timerChannel(stale):
			if left := staleAfter(request) - s.source.Age(); left > 0 {
				stale.Reset(left)
				continue
			}
			return s.buildResponse(request, wantMembers), nil
		case <-changed:
		case <-flushed:
		}
	}
}

// staleTimer returns a timer that fires when the last contact of this process with a quorum becomes too old for the
// watcher. It is nil when the watcher did not ask for that, or when the contact is already too old: then the watcher has
// found no fresher process, and an early response would not help it.
func (s *WatchServer) staleTimer(request *apiv1.WatchRequest) *time.Timer {
	left := staleAfter(request) - s.source.Age()
	if request.StaleAfterMs == 0 || left <= 0 {
		return nil
	}
	return time.NewTimer(left)
}

func staleAfter(request *apiv1.WatchRequest) time.Duration {
	return time.Duration(request.StaleAfterMs) * time.Millisecond
}

// timerChannel returns the channel of a timer, nil for a nil timer.
func timerChannel(timer *time.Timer) <-chan time.Time {
	if timer == nil {
		return nil
	}
	return timer.C
}

// isEmpty reports whether a response carries neither configuration nor members.
func isEmpty(response *apiv1.WatchResponse) bool {
	return response.Snapshot == nil && response.Delta == nil && response.Members == nil
}

func (s *WatchServer) buildResponse(request *apiv1.WatchRequest, wantMembers bool) *apiv1.WatchResponse {
	response := &apiv1.WatchResponse{
		AcceptedVersion:  s.source.Accepted(),
		AgeMs:            uint64(s.source.Age().Milliseconds()),
		ControlInstances: s.source.ControlInstances(),
	}
	history := s.source.History(request.FailureDomain)
	if history == nil {
		return response
	}
	response.Relays = s.source.Redirect(request)
	if newest := history.Newest(); response.Relays == nil && newest.GetVersion() > request.Version && newest.Version != request.RefusedVersion {
		update := history.UpdateFrom(request.Services, request.Version, request.Digest)
		response.Snapshot, response.Delta = update.Snapshot, update.Delta
		s.stats.recordEncode(update.EncodeTime)
	}
	if wantMembers {
		complete := s.source.MembersComplete()
		response.Members = s.members.since(request.MembersSource, request.MembersSeq, history.Closure(request.Services), complete)
	}
	return response
}

// admit waits until the rate limit allows the response. When that takes longer than maxAdmissionWait, it rejects the watch
// with the delay after which to retry.
func (s *WatchServer) admit(ctx context.Context, response *apiv1.WatchResponse) error {
	cost := max(minResponseCost, len(response.Snapshot)+len(response.Delta)+len(response.Members))
	reservation := s.limiter.ReserveN(time.Now(), min(cost, responseBurst))
	delay := reservation.Delay()
	if delay == 0 {
		return nil
	}
	if delay > maxAdmissionWait {
		reservation.Cancel()
		return twirp.NewError(twirp.ResourceExhausted, "too many watchers at once").
			WithMeta(MetaRetryAfter, strconv.FormatInt(delay.Milliseconds(), 10))
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		reservation.Cancel()
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
