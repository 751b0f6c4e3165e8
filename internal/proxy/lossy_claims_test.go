package proxy

import (
	"context"
	"time"

	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
)

// errLost is the error of a call whose request or response was lost.
var errLost = errors.New("lost")

// lossyClaims loses some requests to a claim holder, and some responses after the request has taken effect. It delays
// these messages by random times, so that they overtake each other.
type lossyClaims struct {
	apiv1.Claims
	random func(int) int
}

const (
	// lossOneIn is the number of messages of which one is lost on average.
	lossOneIn = 10
	// maxDelayMicros is the longest delay of a message in microseconds.
	maxDelayMicros = 2000
)

// delayAndDrop delays a message and reports whether it is lost.
func (l *lossyClaims) delayAndDrop() bool {
	time.Sleep(time.Duration(l.random(maxDelayMicros)) * time.Microsecond)
	return l.random(lossOneIn) == 0
}

// Claim may lose the request or the response.
func (l *lossyClaims) Claim(ctx context.Context, request *apiv1.ClaimRequest) (*apiv1.ClaimResponse, error) {
	if l.delayAndDrop() {
		return nil, errLost
	}
	response, err := l.Claims.Claim(ctx, request)
	if l.delayAndDrop() {
		return nil, errLost
	}
	return response, err
}

// Finish may lose the request.
func (l *lossyClaims) Finish(ctx context.Context, request *apiv1.FinishRequest) (*apiv1.FinishResponse, error) {
	if l.delayAndDrop() {
		return nil, errLost
	}
	return l.Claims.Finish(ctx, request)
}
