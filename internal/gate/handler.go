package gate

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"samphireflow/internal/calls"
)

// hop is what another node says about a call that it hands over.
type hop struct {
	call     *calls.Call
	instance string
	patience time.Time
}

// ServeHTTP takes a call from another node.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h, err := g.readHop(r)
	if err != nil {
		g.options.Logger.Warn().Err(err).Str("peer", r.RemoteAddr).Msg("a call from another node cannot be read")
		WriteResult(w, r.Header.Get(g.options.Headers.RequestID), g.options.Headers, refusal(calls.ReasonMisdirected, err.Error()))
		return
	}
	result := g.Pass(r.Context(), h.call, h.instance, h.patience)
	WriteResult(w, h.call.ID, g.options.Headers, result)
}

// readHop reads the call and what the other node says about it. Times are given as what is left of them, so that the
// clocks of the nodes need not agree.
func (g *Gate) readHop(r *http.Request) (*hop, error) {
	now := g.options.Now()
	body, err := calls.ReadBody(r)
	if err != nil {
		return nil, errors.Wrap(err, "read the body")
	}
	told, err := calls.ReadHopMetadata(r.Header)
	if err != nil {
		return nil, errors.Wrap(err, "what the other node says of the call")
	}
	call := &calls.Call{
		ID:         r.Header.Get(g.options.Headers.RequestID),
		Route:      told.Route,
		Method:     r.Method,
		Target:     r.RequestURI,
		Host:       r.Host,
		Header:     calls.EndToEnd(r.Header),
		Idempotent: told.Idempotent,
		Priority:   told.Priority,
		Objective:  now.Add(told.Objective),
		Deadline:   now.Add(told.Deadline),
	}
	body.AssignTo(call)
	return &hop{call: call, instance: told.Server, patience: now.Add(told.FinishBy)}, nil
}

// WriteResult answers the other node.
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
