package deployment

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"samphireflow/internal/backendserver"
	"samphireflow/internal/proxy"
)

// request is one request of a caller. The path of an idempotent route, or else the key and the body, are unique to the
// request, so that a response can be matched to it.
type request struct {
	route Route
	path  string
	key   string
	body  string
}

// newRequest returns a request whose number is unique in its failure domain.
func newRequest(route Route, domain string, number uint64) *request {
	name := fmt.Sprintf("%s-%d", domain, number)
	r := &request{route: route, path: strings.Replace(route.Path, "*", name, 1)}
	if !route.Idempotent {
		r.key = "demo-" + name
		r.body = "body of " + name
	}
	return r
}

func (r *request) bodyDigest() string {
	sum := sha256.Sum256([]byte(r.body))
	return hex.EncodeToString(sum[:])
}

// errNotSent says that no connection to the node could be made, so that nothing was sent.
var errNotSent = errors.New("cannot connect to the node")

// send sends the request to a node and returns its result, or errNotSent if no connection could be made.
func (r *request) send(ctx context.Context, client *http.Client, nodeAddr string) (callResult, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, r.route.Method, "http://"+nodeAddr+r.path, strings.NewReader(r.body))
	if err != nil {
		return callResult{}, errors.WithStack(err)
	}
	if r.key != "" {
		httpRequest.Header.Set(backendserver.HeaderKey, r.key)
	}
	response, err := client.Do(httpRequest)
	if isDialError(err) {
		return callResult{}, errNotSent
	}
	if err != nil {
		return callResult{outcome: proxy.OutcomeUnknown}, nil
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return callResult{outcome: proxy.OutcomeUnknown}, nil
	}
	return r.evaluate(response, body), nil
}

func isDialError(err error) bool {
	var opError *net.OpError
	return errors.As(err, &opError) && opError.Op == "dial"
}

// evaluate checks a response and returns the result that the caller got.
func (r *request) evaluate(response *http.Response, body []byte) callResult {
	got := callResult{outcome: proxy.Outcome(response.Header.Get(proxy.HeaderOutcome)), status: response.StatusCode}
	switch got.outcome {
	case proxy.OutcomeDone:
		got.version = response.Header.Get(backendserver.HeaderVersion)
		if got.status != http.StatusOK {
			break
		}
		if err := r.checkEcho(body); err != nil {
			got.problem = err.Error()
		}
	case proxy.OutcomeNotRun, proxy.OutcomeUnknown:
	default:
		got.problem = "the response has no outcome"
	}
	return got
}
