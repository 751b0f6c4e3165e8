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
	// attemptTimeout is the time after which a caller gives an attempt up.
	attemptTimeout = 3 * time.Second
	// maxAttempts is how often a caller sends one request.
	maxAttempts = 4
	// callPause is the mean pause between two requests of a caller.
	callPause = 20 * time.Millisecond
)

// told is what a caller was told about one attempt.
type told struct {
	outcome proxy.Outcome
	// fault says why the answer is not the caller's own whole answer; empty for none.
	fault string
}

// caller sends lookups and keyed bookings, and resends bookings through nodes of other failure domains until one
// is answered.
type caller struct {
	name   string
	home   []string
	all    []string
	routes []deployment.Route
	random *rand.Rand
	ledger *ledger
	client *http.Client
}

func newCaller(name, domain string, d *deployment.Deployment, layout deployment.Layout, seed uint64, l *ledger) *caller {
	c := &caller{name: name, routes: layout.Routes(), random: rand.New(rand.NewPCG(seed, 7)), ledger: l, client: &http.Client{Timeout: attemptTimeout}}
	for _, process := range d.Processes() {
		if process.Role != deployment.RoleNode {
			continue
		}
		c.all = append(c.all, process.CallerAddr)
		if process.FailureDomain == domain {
			c.home = append(c.home, process.CallerAddr)
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
	addrs := c.home
	for range maxAttempts {
		got := c.attempt(route, name, key, addrs[c.random.IntN(len(addrs))])
		c.ledger.record(key, got)
		if got.outcome == proxy.OutcomeDone {
			return
		}
		addrs = c.all
	}
}

func (c *caller) attempt(route deployment.Route, name, key, addr string) told {
	path := strings.Replace(route.Path, "*", name, 1)
	body := ""
	if key != "" {
		body = "body of " + name
	}
	message, err := http.NewRequest(route.Method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return told{fault: err.Error()}
	}
	if key != "" {
		message.Header.Set(backendserver.HeaderKey, key)
	}
	response, err := c.client.Do(message)
	if err != nil {
		return told{outcome: failedOutcome(err)}
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return told{outcome: proxy.OutcomeUnknown}
	}
	return judge(response, answer, path, key, body)
}

// failedOutcome tells a dial that failed, after which nothing was sent, from the rest.
func failedOutcome(err error) proxy.Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return proxy.OutcomeNotRun
	}
	return proxy.OutcomeUnknown
}

func judge(response *http.Response, answer []byte, path, key, body string) told {
	got := told{outcome: proxy.Outcome(response.Header.Get(proxy.HeaderOutcome))}
	switch {
	case got.outcome == proxy.OutcomeNotRun || got.outcome == proxy.OutcomeUnknown:
		return got
	case got.outcome != proxy.OutcomeDone:
		got.fault = fmt.Sprintf("status %d without an outcome", response.StatusCode)
	case response.StatusCode != http.StatusOK:
		// An error of the backend server itself is the caller's own answer.
	case key == "":
		got.fault = checkLookup(answer, path)
	default:
		got.fault = checkBooking(answer, key, body)
	}
	return got
}

func checkLookup(answer []byte, path string) string {
	var echo backendserver.ReadResponse
	if err := json.Unmarshal(answer, &echo); err != nil {
		return "the answer is not whole"
	}
	if echo.Path != path {
		return "the answer belongs to " + echo.Path
	}
	return ""
}

func checkBooking(answer []byte, key, body string) string {
	var echo backendserver.WriteResponse
	if err := json.Unmarshal(answer, &echo); err != nil {
		return "the answer is not whole"
	}
	digest := sha256.Sum256([]byte(body))
	if echo.Key != key || echo.BodyDigest != hex.EncodeToString(digest[:]) {
		return "the answer belongs to " + echo.Key
	}
	return ""
}
