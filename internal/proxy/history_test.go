package proxy

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/claim"
	"samphireflow/internal/tree"
)

const (
	histories      = 6
	historyCallers = 6
	historyCalls   = 25
	historySlots   = 3
	// maxSends is the maximum number of times that a caller sends one request.
	maxSends = 4
)

// bookings is the shared state of the backend servers: who has booked each slot. Each booking is appended, so that one that
// runs twice is visible.
type bookings struct {
	mu      sync.Mutex
	entries map[string]string
	runs    map[string]int
	// ranAt holds the time at which the request with a key ran.
	ranAt map[string]time.Time
}

// run runs a request and returns the resulting state of its slot.
func (b *bookings) run(method, slot, key, body string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if method == http.MethodPost {
		b.runs[key]++
		b.ranAt[key] = time.Now()
		if body == "cancel" {
			b.entries[slot] = ""
		} else {
			b.entries[slot] += body
		}
	}
	return b.entries[slot]
}

// faultyBackend is a backend server that at random sheds a request, closes the connection before or after it runs the
// request, truncates the response, or responds correctly.
func faultyBackend(t testing.TB, b *bookings, random func(int) int) *rawServer {
	return newRawServer(t, func(request *http.Request, _ int64) (string, bool) {
		switch random(12) {
		case 0:
			return shedResponse, false
		case 1:
			return "", true
		}
		slot := strings.TrimPrefix(strings.TrimPrefix(request.URL.Path, "/shifts/"), "/rota/")
		state := b.run(request.Method, slot, request.Header.Get(HeaderIdempotencyKey), request.Header.Get("Body"))
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(state), state)
		switch random(12) {
		case 0:
			return "", true
		case 1:
			return response[:len(response)-len(state)/2-1], true
		}
		return response, false
	})
}

// holderSet is a set of claim holders that can lose their memory by a restart. Messages to them can be lost.
type holderSet struct {
	set           *apiv1.Assignment
	configuration func() claim.Configuration
	mu            sync.Mutex
	byAddr        map[string]*claim.Holder
	random        func(int) int
	incarnations  map[string]uint64
}

func newHolderSet(random func(int) int) *holderSet {
	s := &holderSet{byAddr: map[string]*claim.Holder{}, incarnations: map[string]uint64{}, random: random}
	s.set = &apiv1.Assignment{
		FailureDomain: "hobart", Role: apiv1.AssignmentRole_ASSIGNMENT_ROLE_CLAIM_HOLDER, Epoch: 1, HomeDomains: []string{"hobart"},
	}
	for _, name := range []string{"h1", "h2", "h3"} {
		s.set.Nodes = append(s.set.Nodes, &apiv1.AssignedNode{Instance: name, ControlAddr: name, Incarnation: 1, SinceEpoch: 1})
	}
	s.configuration = func() claim.Configuration {
		return claim.Configuration{Assignments: []*apiv1.Assignment{s.set}, Retention: time.Hour}
	}
	for _, node := range s.set.Nodes {
		s.restart(node.Instance)
	}
	return s
}

// restart replaces a holder by a new incarnation with empty memory.
func (s *holderSet) restart(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnations[name]++
	s.byAddr[name] = claim.NewHolder(claim.HolderOptions{
		Instance: name, FailureDomain: "hobart", Incarnation: s.incarnations[name], Configuration: s.configuration, Peer: s.peer,
		Logger: zerolog.Nop(), Now: time.Now,
	})
}

func (s *holderSet) peer(addr string) apiv1.Claims {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &lossyClaims{Claims: s.byAddr[addr], random: s.random}
}

// operation is the input of one request of a caller.
type operation struct {
	method string
	slot   string
	body   string
}

// model is the sequential specification of a slot: a booking appends to it, a cancellation empties it, and a lookup reads
// it. A nil output means that the response is not known; it matches any state.
var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		bySlot := map[string][]porcupine.Operation{}
		for _, op := range history {
			slot := op.Input.(operation).slot
			bySlot[slot] = append(bySlot[slot], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range bySlot {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		op, before := input.(operation), state.(string)
		after := before
		if op.method == http.MethodPost {
			after += op.body
			if op.body == "cancel" {
				after = ""
			}
		}
		return output == nil || output.(string) == after, after
	},
}

// TestHistoriesOfBookings sends bookings, cancellations and lookups through several nodes to faulty backend servers, and
// resends a request without a response through another node. No request may run twice, and the history must be
// linearizable according to model.
func TestHistoriesOfBookings(t *testing.T) {
	for seed := range uint64(histories) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			random := lockedRandom(seed)
			state := &bookings{entries: map[string]string{}, runs: map[string]int{}, ranAt: map[string]time.Time{}}
			holders := newHolderSet(random)
			infos := []*apiv1.BackendServer{
				serverInfo("a", faultyBackend(t, state, random).addr), serverInfo("b", faultyBackend(t, state, random).addr),
			}
			var nodes []*testProxy
			for i := range 3 {
				client := claim.NewClient(claim.Options{
					Instance: fmt.Sprint("n", i), Incarnation: 1, Configuration: holders.configuration, Peer: holders.peer,
					Logger: zerolog.Nop(), Now: time.Now,
				})
				settings := defaultSettings(tree.KeyCallTimeout, "400ms", tree.KeyEjectMaxShare, "0")
				nodes = append(nodes, newTestProxy(t, Options{Instance: fmt.Sprint("n", i), Claims: client, Recorder: discardRecorder{}}, settings, infos...))
			}
			history := runHistory(t, nodes, holders, state, random)
			for key, runs := range state.runs {
				require.Equal(t, 1, runs, "%s ran %d times", key, runs)
			}
			require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(model, history, time.Minute))
		})
	}
}

// runHistory lets callers send their requests while one claim holder loses its memory. It returns the history.
//
// A request without a response is entered as ended at the time at which bookings says that it ran, or left out if it has
// not run. If its end were left open, it could take effect at any time after its call, and the checker could not decide
// between the many possible orders in time.
func runHistory(t *testing.T, nodes []*testProxy, holders *holderSet, state *bookings, random func(int) int) []porcupine.Operation {
	var mu sync.Mutex
	var history, unanswered []porcupine.Operation
	var keys []string
	var wg sync.WaitGroup
	started := time.Now()
	for caller := range historyCallers {
		wg.Go(func() {
			for number := range historyCalls {
				if number == historyCalls/2 && caller == 0 {
					holders.restart("h2")
				}
				op := randomOp(random, fmt.Sprintf("[%d.%d]", caller, number))
				callTime := time.Since(started).Nanoseconds()
				key := fmt.Sprintf("k%d-%d", caller, number)
				output, ran := sendUntilKnown(t, nodes, random, op, key)
				if !ran {
					continue
				}
				entry := porcupine.Operation{ClientId: caller, Input: op, Call: callTime, Output: output, Return: time.Since(started).Nanoseconds()}
				mu.Lock()
				if output == nil {
					unanswered = append(unanswered, entry)
					keys = append(keys, key)
				} else {
					history = append(history, entry)
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	state.mu.Lock()
	defer state.mu.Unlock()
	for i, entry := range unanswered {
		ranAt, ran := state.ranAt[keys[i]]
		if !ran {
			continue
		}
		entry.Return = max(ranAt.Sub(started).Nanoseconds(), entry.Call) + 1
		history = append(history, entry)
	}
	return history
}

func randomOp(random func(int) int, name string) operation {
	op := operation{method: http.MethodPost, slot: fmt.Sprint("s", random(historySlots)), body: name}
	switch random(4) {
	case 0:
		op.method, op.body = http.MethodGet, ""
	case 1:
		op.body = "cancel"
	}
	return op
}

// sendUntilKnown sends a request through randomly chosen nodes until its outcome is done, at most maxSends times. It
// returns the response, or nil if it is not known, and whether the request belongs to the history because it may have run.
func sendUntilKnown(t *testing.T, nodes []*testProxy, random func(int) int, op operation, key string) (any, bool) {
	mayHaveRun := false
	for range maxSends {
		node := nodes[random(len(nodes))]
		path := "/rota/" + op.slot
		headers := []string{"Body", op.body}
		if op.method == http.MethodPost {
			path = "/shifts/" + op.slot
			headers = append(headers, HeaderIdempotencyKey, key)
		}
		got := node.call(t, op.method, path, "", headers...)
		switch got.outcome {
		case OutcomeDone:
			return got.body, true
		case OutcomeUnknown:
			mayHaveRun = true
		}
	}
	if op.method == http.MethodGet {
		return nil, false
	}
	return nil, mayHaveRun
}

func lockedRandom(seed uint64) func(int) int {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, seed))
	return func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
}
