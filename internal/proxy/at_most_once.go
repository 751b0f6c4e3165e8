package proxy

import (
	"context"
	"crypto/sha256"
	"net/http"
	"sort"
	"time"

	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/claim"
)

// digestBytes is the length of the digest by which different requests with the same key are told apart.
const digestBytes = 16

// keySeparator separates the name of the service from the caller's key, so that the same key may be used for different
// services.
const keySeparator = " "

// Claims grants permits to run a request with an idempotency key; *claim.Client implements it.
type Claims interface {
	// Begin returns the permit to run the request, the stored result of an earlier run, or an error of package claim.
	Begin(ctx context.Context, request *claim.Request) (*claim.Permit, *apiv1.StoredCall, error)
}

// serveAtMostOnce runs a call with an idempotency key at most once. A resend gets the stored response.
//
// The call continues until its deadline even if its caller disconnects, so that the caller can get the response by a
// resend.
func (p *Proxy) serveAtMostOnce(c *call) (*bufferedResponse, *refusal) {
	if p.options.Claims == nil {
		return nil, notRunRefusal(http.StatusServiceUnavailable, "this node has no claim holders")
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(c.request.Context()), c.deadline)
	defer cancel()
	permit, stored, err := p.options.Claims.Begin(ctx, p.claimRequest(c))
	if err != nil {
		return nil, claimRefusal(err)
	}
	if stored != nil {
		return fromStored(stored)
	}
	return p.runClaimed(ctx, c, permit)
}

// runClaimed runs the call and then records its result with the claim holders, or releases the permit if the call has not
// run.
func (p *Proxy) runClaimed(ctx context.Context, c *call, permit *claim.Permit) (*bufferedResponse, *refusal) {
	if !p.now().Before(c.deadline) {
		permit.Release()
		return nil, notRunRefusal(http.StatusGatewayTimeout, "the deadline passed before the call was sent")
	}
	response, refused := p.serve(ctx, c)
	switch {
	case refused == nil:
		permit.Finish(response.toStored())
	case refused.outcome == OutcomeNotRun:
		permit.Release()
	default:
		permit.Finish(&apiv1.StoredCall{Unknown: true})
	}
	return response, refused
}

func (p *Proxy) claimRequest(c *call) *claim.Request {
	return &claim.Request{
		Key:       c.service.Config.Name + keySeparator + c.key,
		HomeKey:   c.key,
		Digest:    digestOf(c),
		Deadline:  minTime(c.deadline, p.now().Add(claim.MaxCallDuration)),
		Retention: c.route.Settings.ClaimRetention,
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// digestOf returns a digest of the method, the path with query and the body of the request.
func digestOf(c *call) []byte {
	hash := sha256.New()
	for _, part := range [...]string{c.request.Method, c.request.URL.RequestURI()} {
		_, _ = hash.Write([]byte(part))
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(c.body)
	return hash.Sum(nil)[:digestBytes]
}

func claimRefusal(err error) *refusal {
	switch {
	case errors.Is(err, claim.ErrUnknown):
		return unknownRefusal(http.StatusConflict, err.Error())
	case errors.Is(err, claim.ErrMismatch):
		return notRunRefusal(http.StatusUnprocessableEntity, err.Error())
	}
	return notRunRefusal(http.StatusServiceUnavailable, err.Error())
}

// toStored returns the response in the form that claim holders store.
func (b *bufferedResponse) toStored() *apiv1.StoredCall {
	call := &apiv1.StoredCall{Status: uint32(b.status), Body: b.body}
	header := http.Header{}
	copyHeader(header, b.header)
	for name, values := range header {
		call.Headers = append(call.Headers, &apiv1.StoredHeader{Name: name, Values: values})
	}
	sort.Slice(call.Headers, func(i, j int) bool { return call.Headers[i].Name < call.Headers[j].Name })
	return call
}

// fromStored returns the response to a resend, or a refusal if the first run has no stored response.
func fromStored(stored *apiv1.StoredCall) (*bufferedResponse, *refusal) {
	if stored.Unknown {
		return nil, unknownRefusal(http.StatusConflict, "an earlier attempt may have run the request")
	}
	if stored.TooLong {
		return nil, unknownRefusal(http.StatusConflict, "the request has been run; its answer was too long to keep")
	}
	response := &bufferedResponse{status: int(stored.Status), header: http.Header{}, body: stored.Body}
	for _, header := range stored.Headers {
		response.header[header.Name] = header.Values
	}
	response.header.Set(HeaderRepeated, "1")
	return response, nil
}
