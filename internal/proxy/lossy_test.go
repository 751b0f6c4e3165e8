package proxy

import (
	"context"
	"time"

	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
)

// errLost stands for a message that did not arrive.
var errLost = errors.New("lost")

// lossyClaims loses some requests to a claim holder, and some answers after they have had their effect.
type lossyClaims struct {
	apiv1.Claims
	random func(int) int
}

const (
	// lossOneIn is the share of messages that are lost.
	lossOneIn = 10
	// crossing is the longest time for which a message is held up, so that messages overtake each other.
	crossing = 2000
)

func (l *lossyClaims) hold() bool {
	time.Sleep(time.Duration(l.random(crossing)) * time.Microsecond)
	return l.random(lossOneIn) == 0
}

// Claim may lose the request or the answer.
func (l *lossyClaims) Claim(ctx context.Context, request *apiv1.ClaimRequest) (*apiv1.ClaimResponse, error) {
	if l.hold() {
		return nil, errLost
	}
	response, err := l.Claims.Claim(ctx, request)
	if l.hold() {
		return nil, errLost
	}
	return response, err
}

// Finish may lose the request.
func (l *lossyClaims) Finish(ctx context.Context, request *apiv1.FinishRequest) (*apiv1.FinishResponse, error) {
	if l.hold() {
		return nil, errLost
	}
	return l.Claims.Finish(ctx, request)
}
