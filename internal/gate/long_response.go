package gate

import (
	"context"
	"io"
	"net/http"

	"samphireflow/internal/calls"
	"samphireflow/internal/exchange"
	"samphireflow/internal/link"
)

// promise counts a call of another node with a long response on the link. It returns a refusal if the response would arrive
// too late because of the link, and neither for other calls.
func (g *Gate) promise(f *forwardedCall) (*link.Transfer, *calls.Result) {
	if g.options.Link == nil || !f.call.LongResponse {
		return nil, nil
	}
	g.mu.Lock()
	run := g.queue.latencies.Expected(f.call.Route, g.options.Now())
	g.mu.Unlock()
	transfer, late := g.options.Link.Promise(f.call.Route, run, f.finishBy)
	if transfer != nil {
		return transfer, nil
	}
	refused := refusal(calls.ReasonLink, "the response would wait for the link for longer than the call can")
	refused.RetryAfter = max(late, minRetryAfter)
	load := g.Load()
	refused.Load = &load
	return nil, refused
}

// onLink returns the writer for a response: that of a long response sends its body in pieces. Other responses go at once and
// are counted.
func (g *Gate) onLink(ctx context.Context, w http.ResponseWriter, c *calls.Call, transfer *link.Transfer, response *exchange.Response) http.ResponseWriter {
	switch {
	case response == nil:
		return w
	case transfer == nil:
		g.options.Link.Charge(len(response.Body))
		return w
	case response.Status >= http.StatusMultipleChoices:
		transfer.End()
		g.options.Link.Charge(len(response.Body))
		return w
	}
	transfer.Answered(response.Length, len(response.Body))
	return &pacedResponse{w, transfer.Writer(ctx, w, c.Objective)}
}

// pacedResponse is an http.ResponseWriter whose body is written by another writer.
type pacedResponse struct {
	http.ResponseWriter
	body io.Writer
}

// Write sends a part of the body.
func (p *pacedResponse) Write(data []byte) (int, error) { return p.body.Write(data) }
