package ingress

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"samphireflow/internal/calls"
	"samphireflow/internal/exchange"
)

// peerDialTimeout bounds the opening of a connection to another node. It is some ten round trips between the failure
// domains of a region, and short enough that another backend server can still answer in time; between regions with a
// round trip of 110 ms it still suffices.
const peerDialTimeout = 150 * time.Millisecond

// peers hands calls to the gates of other nodes.
type peers struct {
	client  *exchange.Client
	headers calls.Headers
	now     func() time.Time
}

func newPeers(headers calls.Headers, now func() time.Time) *peers {
	return &peers{client: exchange.NewPackingClient(peerDialTimeout), headers: headers, now: now}
}

// pass hands a call to the gate at an address.
func (p *peers) pass(ctx context.Context, c *calls.Call, addr, instance string, patience time.Time) *calls.Result {
	response, err := p.client.Do(ctx, addr, p.request(c, instance, patience))
	if err != nil {
		return failedHop(err)
	}
	return readResult(response)
}

func (p *peers) request(c *calls.Call, instance string, patience time.Time) *exchange.Request {
	now := p.now()
	header := c.Header.Clone()
	// The gate sets it anew from what is left by then.
	header.Del(p.headers.DeadlineMs)
	calls.HopMetadata{
		Server:     instance,
		Route:      c.Route,
		Priority:   c.Priority,
		Idempotent: c.Idempotent,
		Objective:  c.Objective.Sub(now),
		Deadline:   c.Deadline.Sub(now),
		FinishBy:   patience.Sub(now),
	}.Write(header)
	return c.Request(header, p.headers.RequestID)
}

// failedHop tells what an exchange with a gate without an answer means for the call.
func failedHop(err error) *calls.Result {
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

// readResult reads what a gate says came of the call. What it says itself is taken off the answer when that is passed on.
func readResult(response *exchange.Response) *calls.Result {
	result, err := calls.ParseResult(response.Header.Get(calls.HopResultHeader))
	if err != nil {
		return &calls.Result{Outcome: calls.Unknown, Reason: calls.ReasonBroken, Detail: "the answer does not come from a gate: " + err.Error()}
	}
	if result.Outcome == calls.Answered {
		result.Response = response
	}
	return result
}
