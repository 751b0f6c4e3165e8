package whole

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"samphireflow/internal/backendserver"
	"samphireflow/internal/deployment"
	"samphireflow/internal/proxy"
)

const (
	// attemptTimeout bounds one attempt of a caller.
	attemptTimeout = 3 * time.Second
	// maxAttempts is the largest number of attempts of one request.
	maxAttempts = 4
	// callPause is the mean pause between two requests of a caller.
	callPause = 20 * time.Millisecond
)

// attemptResult is what a caller learns from one attempt.
type attemptResult struct {
	outcome proxy.Outcome
	// defect describes what is wrong with the response; it is empty if the response is complete and belongs to the request.
	defect string
}

// caller sends lookups and bookings with an idempotency key. It sends the first attempt to a node of its own failure
// domain and retries at nodes of all failure domains.
type caller struct {
	name       string
	localAddrs []string
	allAddrs   []string
	routes     []deployment.Route
	random     *rand.Rand
	ledger     *ledger
	client     *http.Client
}

func newCaller(name, domain string, d *deployment.Deployment, layout deployment.Layout, seed uint64, l *ledger) *caller {
	c := &caller{name: name, routes: layout.Routes(), random: rand.New(rand.NewPCG(seed, 7)), ledger: l, client: &http.Client{Timeout: attemptTimeout}}
	for _, process := range d.Processes() {
		if process.Role != deployment.RoleNode {
			continue
		}
		c.allAddrs = append(c.allAddrs, process.CallerAddr)
		if process.FailureDomain == domain {
			c.localAddrs = append(c.localAddrs, process.CallerAddr)
		}
	}
	return c
}

func (c *caller) run(ctx context.Context) {
	for number := 0; ctx.Err() == nil; number++ {
		c.request(number)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(c.random.Int64N(int64(2 * callPause)))):
		}
	}
}

func (c *caller) request(number int) {
	route := c.routes[c.random.IntN(len(c.routes))]
	name := fmt.Sprintf("%s-%d", c.name, number)
	key := ""
	if !route.Idempotent {
		key = name
	}
	addrs := c.localAddrs
	for range maxAttempts {
		got := c.attempt(route, name, key, addrs[c.random.IntN(len(addrs))])
		c.ledger.record(key, got)
		if got.outcome == proxy.OutcomeDone {
			return
		}
		addrs = c.allAddrs
	}
}

func (c *caller) attempt(route deployment.Route, name, key, addr string) attemptResult {
	path := strings.Replace(route.Path, "*", name, 1)
	requestBody := ""
	if key != "" {
		requestBody = "body of " + name
	}
	request, err := http.NewRequest(route.Method, "http://"+addr+path, strings.NewReader(requestBody))
	if err != nil {
		return attemptResult{defect: err.Error()}
	}
	if key != "" {
		request.Header.Set(backendserver.HeaderKey, key)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return attemptResult{outcome: outcomeOfError(err)}
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		return attemptResult{outcome: proxy.OutcomeUnknown}
	}
	return checkResponse(response, responseBody, path, key, requestBody)
}

// outcomeOfError returns not-run if the dial failed, since nothing was sent then, and unknown for every other error.
func outcomeOfError(err error) proxy.Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return proxy.OutcomeNotRun
	}
	return proxy.OutcomeUnknown
}

func checkResponse(response *http.Response, responseBody []byte, path, key, requestBody string) attemptResult {
	got := attemptResult{outcome: proxy.Outcome(response.Header.Get(proxy.HeaderOutcome))}
	switch {
	case got.outcome == proxy.OutcomeNotRun || got.outcome == proxy.OutcomeUnknown:
		return got
	case got.outcome != proxy.OutcomeDone:
		got.defect = fmt.Sprintf("status %d without an outcome", response.StatusCode)
	case response.StatusCode != http.StatusOK:
		// The backend server itself reported an error: a correct response, whose body is not checked.
	case key == "":
		got.defect = checkLookup(responseBody, path)
	default:
		got.defect = checkBooking(responseBody, key, requestBody)
	}
	return got
}

func checkLookup(responseBody []byte, path string) string {
	var echo backendserver.ReadResponse
	if err := json.Unmarshal(responseBody, &echo); err != nil {
		return "the response is incomplete"
	}
	if echo.Path != path {
		return "the response belongs to " + echo.Path
	}
	return ""
}

func checkBooking(responseBody []byte, key, requestBody string) string {
	var echo backendserver.WriteResponse
	if err := json.Unmarshal(responseBody, &echo); err != nil {
		return "the response is incomplete"
	}
	digest := sha256.Sum256([]byte(requestBody))
	if echo.Key != key || echo.BodyDigest != hex.EncodeToString(digest[:]) {
		return "the response belongs to " + echo.Key
	}
	return ""
}
