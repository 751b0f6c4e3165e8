package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
)

// repeater is a backend server that refuses the first request on each connection and writes that refusal again on the same
// connection later.
type repeater struct {
	addr string
	// withID is set if refusals bear the ID of their request.
	withID bool
	// again says when the refusal is written again.
	again repeatTime

	mu sync.Mutex
	// runs counts the runs of each request by its body.
	runs map[string]int
}

// repeatTime is a time at which an earlier refusal is written again.
type repeatTime int

const (
	gluedToTheFirst repeatTime = iota
	whileIdle
	beforeTheNextRuns
	whileTheNextRuns
	afterTheNext
	repeatTimes
)

func newRepeater(t *testing.T, again repeatTime, withID bool) *repeater {
	r := &repeater{withID: withID, again: again, runs: map[string]int{}}
	r.addr = serveConns(t, r.serve)
	return r
}

func (r *repeater) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	refusal := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if refusal == "" {
			refusal = "HTTP/1.1 503 Busy\r\n" + HeaderShed + ": 1\r\nContent-Length: 5\r\n"
			if r.withID {
				refusal += HeaderCall + ": " + request.Header.Get(HeaderCall) + "\r\n"
			}
			refusal += "\r\nbusy\n"
			_, _ = io.WriteString(c, refusal)
			switch r.again {
			case gluedToTheFirst:
				_, _ = io.WriteString(c, refusal)
			case whileIdle:
				time.Sleep(time.Millisecond)
				_, _ = io.WriteString(c, refusal)
			}
			continue
		}
		if r.again == beforeTheNextRuns {
			_, _ = io.WriteString(c, refusal)
		}
		r.mu.Lock()
		r.runs[string(body)]++
		r.mu.Unlock()
		if r.again == whileTheNextRuns {
			_, _ = io.WriteString(c, refusal)
			time.Sleep(2 * time.Millisecond)
		}
		_, _ = io.WriteString(c, okResponse)
		if r.again == afterTheNext {
			_, _ = io.WriteString(c, refusal)
		}
	}
}

// TestRepeatedRefusalIsNoResponse guards against a request that is told not to have run, or that is sent to a second backend server,
// because its backend server has written an earlier refusal again on a kept connection. Directly and through the gate.
func TestRepeatedRefusalIsNoResponse(t *testing.T) {
	const calls = 40
	for again := range repeatTimes {
		for _, withID := range []bool{false, true} {
			for _, throughGate := range []bool{false, true} {
				t.Run(fmt.Sprint(again, withID, throughGate), func(t *testing.T) {
					a, b := newRepeater(t, again, withID), newRepeater(t, again, withID)
					infos := []*apiv1.BackendServer{serverInfo("a", a.addr), serverInfo("b", b.addr)}
					if throughGate {
						infos = nil
						for name, r := range map[string]*repeater{"a": a, "b": b} {
							infos = append(infos, newNamedTestGate(t, name, r.addr, 10, 130).info)
						}
					}
					p := newTestProxy(t, Options{Recorder: discardRecorder{}}, defaultSettings(), infos...)
					answered := 0
					for n := range calls {
						body := fmt.Sprint("booking ", n)
						got := p.call(t, "POST", "/shifts/1", body)
						runs := a.count(body) + b.count(body)
						require.LessOrEqual(t, runs, 1, "ran twice")
						if got.outcome == OutcomeNotRun {
							require.Zero(t, runs, "told not to have run")
						}
						if got.outcome == OutcomeDone {
							answered++
						}
					}
					if withID && again == afterTheNext {
						require.Positive(t, answered)
					}
				})
			}
		}
	}
}

// TestRefusalsOfABusyServerAreBelieved checks that refusals without an ID by a backend server that is just busy are believed, so that
// the calls are told not to have run.
func TestRefusalsOfABusyServerAreBelieved(t *testing.T) {
	const callers, calls = 8, 100
	server := newRawServer(t, func(_ *http.Request, number int64) (string, bool) {
		if number%3 != 0 {
			return "HTTP/1.1 503 Busy\r\n" + HeaderShed + ": 1\r\nContent-Length: 0\r\n\r\n", false
		}
		return okResponse, false
	})
	p := newTestProxy(t, Options{Recorder: discardRecorder{}}, defaultSettings(), serverInfo("a", server.addr))
	var mu sync.Mutex
	outcomes := map[Outcome]int{}
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for range calls {
				got := p.call(t, "POST", "/shifts/1", "x")
				mu.Lock()
				outcomes[got.outcome]++
				mu.Unlock()
			}
		})
	}
	group.Wait()
	require.Zero(t, outcomes[OutcomeUnknown], "%v", outcomes)
	require.Positive(t, outcomes[OutcomeDone])
	require.Positive(t, outcomes[OutcomeNotRun])
}

func (r *repeater) count(body string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[body]
}
