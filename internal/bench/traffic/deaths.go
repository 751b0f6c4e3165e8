package traffic

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"samphireflow/internal/bench"
	"samphireflow/internal/deployment"
)

const (
	// deathCallers is the number of callers in each failure domain.
	deathCallers = 4
	// deathPause is the time between two calls of one caller.
	deathPause = 4 * time.Millisecond
	// deathBefore and deathAfter are the times of calls before and after a death.
	deathBefore = 2 * time.Second
	deathAfter  = 6 * time.Second
	// deathDeadline is the time after which a caller gives up.
	deathDeadline = 2 * time.Second
)

// deaths measures the share of lookups lost and the longest time without an answer in a failure domain, when a backend
// server, a node and a failure domain die.
func deaths(ctx context.Context, _ int64) ([]bench.Result, error) {
	dir, err := os.MkdirTemp("", "samphireflow-bench-")
	if err != nil {
		return nil, errors.Wrap(err, "make a folder")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	d, err := deployment.New(deployment.Ploughline(), binDir(), dir)
	if err != nil {
		return nil, err
	}
	defer func() { _ = d.Stop() }()
	if err := d.Start(ctx); err != nil {
		return nil, err
	}
	var results []bench.Result
	for _, victim := range []struct {
		name   string
		chosen func(p deployment.Process) bool
	}{
		{"a backend server", func(p deployment.Process) bool {
			return p.Role == deployment.RoleBackendServer && p.Instance == "launceston-rota-board-3"
		}},
		{"a node", func(p deployment.Process) bool {
			return p.Role == deployment.RoleNode && p.Instance == "devonport-rota-board-4"
		}},
		{"a failure domain", func(p deployment.Process) bool { return p.FailureDomain == "burnie" }},
	} {
		lost, gap, err := death(ctx, d, victim.chosen)
		if err != nil {
			return results, err
		}
		results = append(results,
			bench.Figure("lookups lost when "+victim.name+" dies", 100*lost, "%"),
			bench.Figure("longest gap when "+victim.name+" dies", ms(gap), "ms"))
	}
	return results, ctx.Err()
}

// death kills the chosen processes among calls.
func death(ctx context.Context, d *deployment.Deployment, chosen func(deployment.Process) bool) (float64, time.Duration, error) {
	var victims []deployment.Process
	nodes := map[string][]string{}
	for _, process := range d.Processes() {
		dies := chosen(process)
		if dies {
			victims = append(victims, process)
		}
		if process.Role == deployment.RoleNode {
			nodes[process.FailureDomain] = append(nodes[process.FailureDomain], process.CallerAddr)
		}
	}
	if len(victims) == 0 {
		return 0, 0, errors.New("there is nobody to kill")
	}
	if len(victims) > 2 {
		delete(nodes, victims[0].FailureDomain)
	}
	calling, cancel := context.WithTimeout(ctx, deathBefore+deathAfter)
	defer cancel()
	tally := &deathTally{}
	var wg sync.WaitGroup
	for _, addrs := range nodes {
		gaps := &gapMeter{last: time.Now()}
		for caller := range deathCallers {
			wg.Go(func() { keepCalling(calling, addrs, caller, tally, gaps) })
		}
		tally.meters = append(tally.meters, gaps)
	}
	time.Sleep(deathBefore)
	for _, victim := range victims {
		if err := d.Kill(victim); err != nil {
			return 0, 0, err
		}
	}
	wg.Wait()
	return tally.lost(), tally.longest(), nil
}

// deathTally counts the calls of all callers.
type deathTally struct {
	mu     sync.Mutex
	calls  int
	failed int
	meters []*gapMeter
}

func (t *deathTally) add(ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls++
	if !ok {
		t.failed++
	}
}

func (t *deathTally) lost() float64 {
	return float64(t.failed) / float64(max(t.calls, 1))
}

func (t *deathTally) longest() time.Duration {
	var longest time.Duration
	for _, meter := range t.meters {
		longest = max(longest, meter.longest)
	}
	return longest
}

// gapMeter keeps the longest time between two answers in a failure domain.
type gapMeter struct {
	mu      sync.Mutex
	last    time.Time
	longest time.Duration
}

func (g *gapMeter) answered() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.longest = max(g.longest, now.Sub(g.last))
	g.last = now
}

// keepCalling sends lookups to the nodes in turn, to the next one when a node does not take the connection.
func keepCalling(ctx context.Context, addrs []string, caller int, tally *deathTally, gaps *gapMeter) {
	client := &http.Client{Timeout: deathDeadline, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	for number := caller; ctx.Err() == nil; number++ {
		ok := false
		for try := 0; try < len(addrs) && !ok; try++ {
			answered, connected := lookupOnce(client, addrs[(number+try)%len(addrs)], number)
			ok = answered
			if connected {
				break
			}
		}
		tally.add(ok)
		if ok {
			gaps.answered()
		}
		time.Sleep(deathPause)
	}
}

func lookupOnce(client *http.Client, addr string, number int) (answered, connected bool) {
	response, err := client.Get(fmt.Sprintf("http://%s/rota/%d", addr, number))
	if err != nil {
		return false, false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK, true
}
