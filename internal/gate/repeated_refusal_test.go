package gate

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireflow/internal/calls"
)

// newRepeater starts a backend server that refuses the first request on each connection and writes that refusal again before it runs
// each of the next ones. The refusals bear the ID that bearing returns for the one of their request. It counts the runs.
func newRepeater(t *testing.T, bearing func(id string) string) (addr string, runs *atomic.Int64) {
	runs = &atomic.Int64{}
	names := calls.DefaultHeaders()
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		reader := bufio.NewReader(c)
		refusal := ""
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			id := request.Header.Get(names.RequestID)
			if refusal == "" {
				refusal = "HTTP/1.1 503 Busy\r\n" + names.NotRun + ": 1\r\nContent-Length: 5\r\n"
				if borne := bearing(id); borne != "" {
					refusal += names.RequestID + ": " + borne + "\r\n"
				}
				refusal += "\r\nbusy\n"
				_, _ = io.WriteString(c, refusal)
				continue
			}
			_, _ = io.WriteString(c, refusal)
			runs.Add(1)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+names.RequestID+": "+id+"\r\nContent-Length: 2\r\n\r\nok")
		}
	}
	return serveConns(t, serve), runs
}

// TestRepeatedRefusalIsNoResponse guards against a call that is said not to have run because its backend server has written an
// earlier refusal again on a kept connection. The refusal bears its own ID or none; the call has an ID of its own, none, or that of a
// call which was refused before.
func TestRepeatedRefusalIsNoResponse(t *testing.T) {
	own := func(id string) string { return id }
	none := func(string) string { return "" }
	for name, c := range map[string]struct {
		bearing func(string) string
		id      func(n int) string
	}{
		"with ID":       {own, func(n int) string { return fmt.Sprint("id-", n) }},
		"without ID":    {none, func(n int) string { return fmt.Sprint("id-", n) }},
		"call without":  {none, func(int) string { return "" }},
		"same ID again": {own, func(n int) string { return fmt.Sprint("id-", n/3) }},
		"always one ID": {own, func(int) string { return "id" }},
		"two in turn":   {own, func(n int) string { return fmt.Sprint("id-", n%2) }},
	} {
		t.Run(name, func(t *testing.T) {
			addr, runs := newRepeater(t, c.bearing)
			clock := time.Now()
			g, _ := newTestGate(addr, &clock)
			for n := range 30 {
				ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
				call := newTestCall(clock)
				call.ID = c.id(n)
				call.Header = http.Header{}
				if call.ID != "" {
					call.Header.Set(calls.DefaultHeaders().RequestID, call.ID)
				}
				before := runs.Load()
				result := g.Pass(ctx, call, "a", clock.Add(time.Second))
				cancel()
				if result.Outcome == calls.NotRun {
					require.Equal(t, before, runs.Load(), "said not to have run")
				}
			}
		})
	}
}
