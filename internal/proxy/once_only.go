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

// digestBytes is the length of the digest that tells requests with the same key apart.
const digestBytes = 16

// keySeparator stands between the name of a service and a caller's key, so that one key may be used at two services.
const keySeparator = " "

// Claims gives permission to run a keyed request; *claim.Client implements it.
type Claims interface {
	// Begin returns the permission to run, the answer of an earlier attempt, or an error of package claim.
	Begin(ctx context.Context, request *claim.Request) (*claim.Permit, *apiv1.StoredCall, error)
}

// serveOnce runs a keyed call at most once. A resend gets the first answer.
//
// The call goes on when its caller goes away, until its deadline: a caller that lost its connection then finds the
// answer with a resend.
func (p *Proxy) serveOnce(c *call) (*answer, *refusal) {
	if p.options.Claims == nil {
		return nil, notRun(http.StatusServiceUnavailable, "this node has no claim holders")
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(c.request.Context()), c.deadline)
	defer cancel()
	permit, stored, err := p.options.Claims.Begin(ctx, p.claimRequest(c))
	if err != nil {
		return nil, claimRefusal(err)
	}
	if stored != nil {
		return repeated(stored)
	}
	return p.runOnce(ctx, c, permit)
}

// runOnce runs the call and ends the permit.
func (p *Proxy) runOnce(ctx context.Context, c *call, permit *claim.Permit) (*answer, *refusal) {
	if !p.now().Before(c.deadline) {
		permit.Release()
		return nil, notRun(http.StatusGatewayTimeout, "the deadline passed before the call was sent")
	}
	got, bad := p.serve(ctx, c)
	switch {
	case bad == nil:
		permit.Finish(got.stored())
	case bad.outcome == OutcomeNotRun:
		permit.Release()
	default:
		permit.Finish(&apiv1.StoredCall{Unknown: true})
	}
	return got, bad
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

// digestOf returns the digest of what makes the request: method, path with query, and body.
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
		return unknown(http.StatusConflict, err.Error())
	case errors.Is(err, claim.ErrMismatch):
		return notRun(http.StatusUnprocessableEntity, err.Error())
	}
	return notRun(http.StatusServiceUnavailable, err.Error())
}

// stored returns the answer as claim holders keep it.
func (a *answer) stored() *apiv1.StoredCall {
	call := &apiv1.StoredCall{Status: uint32(a.status), Body: a.body}
	header := http.Header{}
	copyHeader(header, a.header)
	for name, values := range header {
		call.Headers = append(call.Headers, &apiv1.StoredHeader{Name: name, Values: values})
	}
	sort.Slice(call.Headers, func(i, j int) bool { return call.Headers[i].Name < call.Headers[j].Name })
	return call
}

// repeated returns the answer to a resend.
func repeated(stored *apiv1.StoredCall) (*answer, *refusal) {
	if stored.Unknown {
		return nil, unknown(http.StatusConflict, "an earlier attempt may have run the request")
	}
	if stored.TooLong {
		return nil, unknown(http.StatusConflict, "the request has been run; its answer was too long to keep")
	}
	got := &answer{status: int(stored.Status), header: http.Header{}, body: stored.Body}
	for _, header := range stored.Headers {
		got.header[header.Name] = header.Values
	}
	got.header.Set(HeaderRepeated, "1")
	return got, nil
}
