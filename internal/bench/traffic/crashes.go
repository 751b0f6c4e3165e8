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
	// callersPerDomain is the number of callers in each failure domain.
	callersPerDomain = 4
	// callInterval is the pause between two calls of one caller.
	callInterval = 4 * time.Millisecond
	// timeBeforeCrash and timeAfterCrash are how long calls are sent before and after a crash.
	timeBeforeCrash = 2 * time.Second
	timeAfterCrash  = 6 * time.Second
	// lookupTimeout is the time after which a caller gives up.
	lookupTimeout = 2 * time.Second
)

// measureCrashes measures the share of failed lookups and the longest time without a response in a failure domain,
// while a backend server, a node and a failure domain crash in turn.
func measureCrashes(ctx context.Context, _ int64) ([]bench.Result, error) {
	dir, err := os.MkdirTemp("", "samphireflow-bench-")
	if err != nil {
		return nil, errors.Wrap(err, "create a temporary folder")
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
		name     string
		isVictim func(p deployment.Process) bool
	}{
		{"a backend server", func(p deployment.Process) bool {
			return p.Role == deployment.RoleBackendServer && p.Instance == "launceston-rota-board-3"
		}},
		{"a node", func(p deployment.Process) bool {
			return p.Role == deployment.RoleNode && p.Instance == "devonport-rota-board-4"
		}},
		{"a failure domain", func(p deployment.Process) bool { return p.FailureDomain == "burnie" }},
	} {
		lost, gap, err := crashDuringCalls(ctx, d, victim.isVictim)
		if err != nil {
			return results, err
		}
		results = append(results,
			bench.Figure("lookups lost when "+victim.name+" dies", 100*lost, "%"),
			bench.Figure("longest gap when "+victim.name+" dies", ms(gap), "ms"))
	}
	return results, ctx.Err()
}

// crashDuringCalls kills the chosen processes while callers send lookups. It returns the share of failed lookups and
// the longest gap between responses.
func crashDuringCalls(ctx context.Context, d *deployment.Deployment, isVictim func(deployment.Process) bool) (float64, time.Duration, error) {
	var victims []deployment.Process
	nodes := map[string][]string{}
	for _, process := range d.Processes() {
		victim := isVictim(process)
		if victim {
			victims = append(victims, process)
		}
		if process.Role == deployment.RoleNode {
			nodes[process.FailureDomain] = append(nodes[process.FailureDomain], process.CallerAddr)
		}
	}
	if len(victims) == 0 {
		return 0, 0, errors.New("no process matches the victim")
	}
	// More than two victims are a whole failure domain, and no caller is left in it.
	if len(victims) > 2 {
		delete(nodes, victims[0].FailureDomain)
	}
	callCtx, cancel := context.WithTimeout(ctx, timeBeforeCrash+timeAfterCrash)
	defer cancel()
	tally := &callTally{}
	var wg sync.WaitGroup
	for _, addrs := range nodes {
		gaps := &gapTracker{last: time.Now()}
		for caller := range callersPerDomain {
			wg.Go(func() { sendLookups(callCtx, addrs, caller, tally, gaps) })
		}
		tally.gaps = append(tally.gaps, gaps)
	}
	time.Sleep(timeBeforeCrash)
	for _, victim := range victims {
		if err := d.Kill(victim); err != nil {
			return 0, 0, err
		}
	}
	wg.Wait()
	return tally.lostShare(), tally.longestGap(), nil
}

// callTally counts the calls of all callers.
type callTally struct {
	mu     sync.Mutex
	calls  int
	failed int
	gaps   []*gapTracker
}

func (t *callTally) add(ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls++
	if !ok {
		t.failed++
	}
}

func (t *callTally) lostShare() float64 {
	return float64(t.failed) / float64(max(t.calls, 1))
}

func (t *callTally) longestGap() time.Duration {
	var longest time.Duration
	for _, tracker := range t.gaps {
		longest = max(longest, tracker.longest)
	}
	return longest
}

// gapTracker keeps the longest time between two responses in a failure domain.
type gapTracker struct {
	mu      sync.Mutex
	last    time.Time
	longest time.Duration
}

func (g *gapTracker) recordAnswer() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.longest = max(g.longest, now.Sub(g.last))
	g.last = now
}

// sendLookups sends lookups to the nodes in turn. When a node doesn't respond, the lookup goes to the next one.
func sendLookups(ctx context.Context, addrs []string, caller int, tally *callTally, gaps *gapTracker) {
	client := &http.Client{Timeout: lookupTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	for number := caller; ctx.Err() == nil; number++ {
		ok := false
		for try := 0; try < len(addrs) && !ok; try++ {
			answered, responded := sendLookup(client, addrs[(number+try)%len(addrs)], number)
			ok = answered
			if responded {
				break
			}
		}
		tally.add(ok)
		if ok {
			gaps.recordAnswer()
		}
		time.Sleep(callInterval)
	}
}

func sendLookup(client *http.Client, addr string, number int) (answered, responded bool) {
	response, err := client.Get(fmt.Sprintf("http://%s/rota/%d", addr, number))
	if err != nil {
		return false, false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK, true
}
