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
	// answerRate bounds what a watch server sends, in bytes a second, and answerBurst what it sends at once.
	answerRate  = 16 << 20
	answerBurst = 16 << 20
	// answerCost is what the smallest answer counts for, in bytes, so that the rate also bounds the answers a second.
	answerCost = 4 << 10
	// maxAdmissionWait is the longest time that an answer waits for its turn; after it the watcher is sent away.
	maxAdmissionWait = 2 * time.Second
	// MetaRetryAfter is the metadata key of a refused watch: milliseconds after which to try again.
	MetaRetryAfter = "retry_after_ms"
)

// WatchServer answers the watches of nodes and relays.
type WatchServer struct {
	source  Source
	members *memberAnswers
	hub     *member.Hub
	limiter *rate.Limiter
	// stopping is closed at a planned stop.
	stopping chan struct{}
	stopOnce sync.Once
}

// NewWatchServer returns a server for the versions of a source and the members of a hub.
func NewWatchServer(source Source, hub *member.Hub) *WatchServer {
	return &WatchServer{
		source:  source,
		hub:     hub,
		members: newMemberAnswers(hub),
		limiter: rate.NewLimiter(answerRate, answerBurst),

		stopping: make(chan struct{}),
	}
}

// Stop ends the watches, so that the watchers turn to another process at once.
func (s *WatchServer) Stop() {
	s.stopOnce.Do(func() { close(s.stopping) })
}

// Watch answers when there is something that the watcher does not have (twirp service Distribution).
func (s *WatchServer) Watch(ctx context.Context, request *apiv1.WatchRequest) (*apiv1.WatchResponse, error) {
	if request.FailureDomain == "" {
		return nil, twirp.RequiredArgumentError("failure_domain")
	}
	end := time.NewTimer(min(time.Duration(request.WaitMs)*time.Millisecond, maxWatchWait))
	defer end.Stop()
	membersDue := time.NewTimer(time.Duration(request.MembersAfterMs) * time.Millisecond)
	defer membersDue.Stop()
	wantMembers := request.MembersAfterMs == 0
	stale := s.staleTimer(request)
	if stale != nil {
		defer stale.Stop()
	}
	for {
		changed, flushed := s.source.Changed(), s.hub.Flushed()
		response := s.answer(request, wantMembers)
		if !empty(response) || response.Relays.GetEpoch() > request.RelaysEpoch {
			if err := s.admit(ctx, response); err != nil {
				return nil, err
			}
			return response, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-s.stopping:
			return nil, twirp.NewError(twirp.Unavailable, "this process stops")
		case <-end.C:
			return response, nil
		case <-membersDue.C:
			wantMembers = true
		case <-fired(stale):
			if left := staleAfter(request) - s.source.Age(); left > 0 {
				stale.Reset(left)
				continue
			}
			return s.answer(request, wantMembers), nil
		case <-changed:
		case <-flushed:
		}
	}
}

// staleTimer fires when the word of this process becomes too old for the watcher, unless it is so already: then the watcher
// has looked for another sender in vain. It is nil when the watcher does not ask for it.
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

// fired is the channel of a timer that may be nil.
func fired(timer *time.Timer) <-chan time.Time {
	if timer == nil {
		return nil
	}
	return timer.C
}

func empty(response *apiv1.WatchResponse) bool {
	return response.Snapshot == nil && response.Delta == nil && response.Members == nil
}

func (s *WatchServer) answer(request *apiv1.WatchRequest, wantMembers bool) *apiv1.WatchResponse {
	response := &apiv1.WatchResponse{
		AcceptedVersion: s.source.Accepted(),
		AgeMs:           uint64(s.source.Age().Milliseconds()),
		ControlAddrs:    s.source.ControlAddrs(),
	}
	history := s.source.History(request.FailureDomain)
	if history == nil {
		return response
	}
	response.Relays = s.source.Redirect(request)
	if newest := history.Newest(); response.Relays == nil && newest.GetVersion() > request.Version && newest.Version != request.RefusedVersion {
		answer := history.UpdateFrom(request.Services, request.Version, request.Digest)
		response.Snapshot, response.Delta = answer.Snapshot, answer.Delta
	}
	if wantMembers {
		complete := s.source.MembersComplete()
		response.Members = s.members.since(request.MembersSource, request.MembersSeq, history.Closure(request.Services), complete)
	}
	return response
}

// admit waits for the answer's turn. When that is too far off, the watcher is told to come again later.
func (s *WatchServer) admit(ctx context.Context, response *apiv1.WatchResponse) error {
	cost := max(answerCost, len(response.Snapshot)+len(response.Delta)+len(response.Members))
	turn := s.limiter.ReserveN(time.Now(), min(cost, answerBurst))
	delay := turn.Delay()
	if delay == 0 {
		return nil
	}
	if delay > maxAdmissionWait {
		turn.Cancel()
		return twirp.NewError(twirp.ResourceExhausted, "too many watchers at once").
			WithMeta(MetaRetryAfter, strconv.FormatInt(delay.Milliseconds(), 10))
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		turn.Cancel()
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
