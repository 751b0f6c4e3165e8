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

// request is one request of a caller. Its key and body are unlike those of any other request.
type request struct {
	route Route
	path  string
	key   string
	body  string
}

// newRequest makes the request with a number that no other request of the domain has.
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

// errRefused is returned when the node does not take the connection, so that nothing was sent.
var errRefused = errors.New("the node does not take connections")

// send sends the request to a node. It returns errRefused if nothing was sent.
func (r *request) send(ctx context.Context, client *http.Client, nodeAddr string) (answer, error) {
	message, err := http.NewRequestWithContext(ctx, r.route.Method, "http://"+nodeAddr+r.path, strings.NewReader(r.body))
	if err != nil {
		return answer{}, errors.WithStack(err)
	}
	if r.key != "" {
		message.Header.Set(backendserver.HeaderKey, r.key)
	}
	response, err := client.Do(message)
	if isDialError(err) {
		return answer{}, errRefused
	}
	if err != nil {
		return answer{outcome: proxy.OutcomeUnknown}, nil
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{outcome: proxy.OutcomeUnknown}, nil
	}
	return r.judge(response, body), nil
}

func isDialError(err error) bool {
	var failure *net.OpError
	return errors.As(err, &failure) && failure.Op == "dial"
}

// judge turns a response into what the caller got.
func (r *request) judge(response *http.Response, body []byte) answer {
	got := answer{outcome: proxy.Outcome(response.Header.Get(proxy.HeaderOutcome)), status: response.StatusCode}
	switch got.outcome {
	case proxy.OutcomeDone:
		got.version = response.Header.Get(backendserver.HeaderVersion)
		if got.status != http.StatusOK {
			break
		}
		if err := r.checkEcho(body); err != nil {
			got.fault = err.Error()
		}
	case proxy.OutcomeNotRun, proxy.OutcomeUnknown:
	default:
		got.fault = "the answer carries no outcome"
	}
	return got
}
