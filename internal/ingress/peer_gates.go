package ingress

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"samphireflow/internal/calls"
	"samphireflow/internal/exchange"
)

// peerDialTimeout bounds the opening of a connection to another node. It is about ten round trips between the failure
// domains of a region, and short enough that another backend server can still respond in time. It also suffices between
// regions with a round trip of 110 ms.
const peerDialTimeout = 150 * time.Millisecond

// peerGates sends calls to the gates of other nodes.
type peerGates struct {
	client  *exchange.Client
	headers calls.Headers
	now     func() time.Time
}

func newPeerGates(headers calls.Headers, now func() time.Time) *peerGates {
	return &peerGates{client: exchange.NewHPACKClient(peerDialTimeout), headers: headers, now: now}
}

// pass sends a call to the gate at the given address and returns the result.
func (p *peerGates) pass(ctx context.Context, c *calls.Call, addr, instance string, finishBy time.Time) *calls.Result {
	response, err := p.client.Do(ctx, addr, p.request(c, instance, finishBy))
	if err != nil {
		return hopFailure(err)
	}
	return parseResponse(response)
}

// request returns the request to the gate of the given backend server.
func (p *peerGates) request(c *calls.Call, instance string, finishBy time.Time) *exchange.Request {
	now := p.now()
	header := c.Header.Clone()
	// The gate sets the field from the time that is left when it sends the call.
	header.Del(p.headers.DeadlineMs)
	calls.HopMetadata{
		Server:     instance,
		Route:      c.Route,
		Priority:   c.Priority,
		Idempotent: c.Idempotent,
		Repeated:   c.Repeated,
		Inner:      c.Inner,
		Customer:   c.Customer,
		Objective:  c.Objective.Sub(now),
		Deadline:   c.Deadline.Sub(now),
		FinishBy:   finishBy.Sub(now),

		LongResponse: c.LongResponse,
	}.Write(header)
	return c.Request(header, p.headers.RequestID)
}

// hopFailure returns the result of a call whose exchange with another node's gate failed.
func hopFailure(err error) *calls.Result {
	result := &calls.Result{Outcome: calls.Unknown, Reason: calls.ReasonBroken, Detail: err.Error()}
	sent := !errors.Is(err, exchange.ErrNotSent)
	switch {
	case errors.Is(err, context.Canceled):
		result.Outcome, result.Reason = calls.Canceled, calls.ReasonCanceled
	case errors.Is(err, context.DeadlineExceeded) && sent:
		result.Outcome, result.Reason = calls.Expired, calls.ReasonDeadline
	case !sent:
		result.Outcome, result.Reason = calls.NotRun, calls.ReasonUnreachable
	}
	return result
}

// parseResponse reads the result from a gate's response. If the backend server responded, the result holds the response;
// the gate's own header fields are removed when it is forwarded.
func parseResponse(response *exchange.Response) *calls.Result {
	result, err := calls.ParseResult(response.Header.Get(calls.HopResultHeader))
	if err != nil {
		return &calls.Result{Outcome: calls.Unknown, Reason: calls.ReasonBroken, Detail: "the answer does not come from a gate: " + err.Error()}
	}
	if result.Outcome == calls.Answered {
		result.Response = response
	}
	return result
}
