package gate

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"samphireflow/internal/calls"
	"samphireflow/internal/resources"
)

// forwardedCall is a call that another node forwards to this gate.
type forwardedCall struct {
	call     *calls.Call
	instance string
	finishBy time.Time
}

// ServeHTTP serves a call from another node.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The server has counted the compressed fields.
	if err := resources.MemoryOf(r.Context()).Add(resources.RequestWeight(r)); err != nil {
		g.refuseForMemory(w, r)
		return
	}
	f, err := g.readForwardedCall(r)
	if errors.Is(err, resources.ErrNoMemory) {
		g.refuseForMemory(w, r)
		return
	}
	if err != nil {
		g.options.Logger.Warn().Err(err).Str("peer", r.RemoteAddr).Msg("cannot read a call that another node forwarded")
		WriteResult(w, r.Header.Get(g.options.Headers.RequestID), g.options.Headers, refusal(calls.ReasonMisdirected, err.Error()))
		return
	}
	if !g.options.Stop.Admits(g.options.Now(), f.call.Deadline) {
		WriteResult(w, f.call.ID, g.options.Headers, refusal(calls.ReasonDraining, "this node stops before the call must end"))
		return
	}
	transfer, refused := g.promise(f)
	if refused != nil {
		WriteResult(w, f.call.ID, g.options.Headers, refused)
		return
	}
	if transfer != nil {
		defer transfer.End()
		f.call.HoldBody = transfer.Hold
	}
	result := g.Pass(r.Context(), f.call, f.instance, f.finishBy)
	ctx, cancel := context.WithDeadline(r.Context(), f.call.Deadline)
	defer cancel()
	WriteResult(g.onLink(ctx, w, f.call, transfer, result.Response), f.call.ID, g.options.Headers, result)
}

// refuseForMemory refuses a call for which this node has no memory. Another node may have some.
func (g *Gate) refuseForMemory(w http.ResponseWriter, r *http.Request) {
	refused := refusal(calls.ReasonFull, resources.ErrNoMemory.Error())
	refused.RetryAfter = minRetryAfter
	WriteResult(w, r.Header.Get(g.options.Headers.RequestID), g.options.Headers, refused)
}

// readForwardedCall reads the call and its metadata. The other node sends times as remaining durations, so that the clocks
// of the nodes need not agree.
func (g *Gate) readForwardedCall(r *http.Request) (*forwardedCall, error) {
	now := g.options.Now()
	body, err := calls.ReadBody(r)
	if err != nil {
		return nil, errors.Wrap(err, "read the body")
	}
	metadata, err := calls.ReadHopMetadata(r.Header)
	if err != nil {
		return nil, errors.Wrap(err, "what the other node says of the call")
	}
	call := &calls.Call{
		ID:         r.Header.Get(g.options.Headers.RequestID),
		Route:      metadata.Route,
		Method:     r.Method,
		Target:     r.RequestURI,
		Host:       r.Host,
		Header:     calls.EndToEnd(r.Header),
		Idempotent: metadata.Idempotent,
		Repeated:   metadata.Repeated,
		Inner:      metadata.Inner,
		Customer:   metadata.Customer,
		Priority:   metadata.Priority,
		Objective:  now.Add(metadata.Objective),
		Deadline:   now.Add(metadata.Deadline),

		LongResponse: metadata.LongResponse,
		Memory:       resources.MemoryOf(r.Context()),
	}
	body.AssignTo(call)
	return &forwardedCall{call: call, instance: metadata.Server, finishBy: now.Add(metadata.FinishBy)}, nil
}

// WriteResult sends the result to the node that forwarded the call, together with the backend server's response if there
// is one.
func WriteResult(w http.ResponseWriter, id string, names calls.Headers, result *calls.Result) {
	header := w.Header()
	header.Set(calls.HopResultHeader, result.String())
	if result.Response != nil {
		calls.WriteResponse(w, result.Response)
		return
	}
	header["Date"] = nil
	if id != "" {
		header.Set(names.RequestID, id)
	}
	header.Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}
