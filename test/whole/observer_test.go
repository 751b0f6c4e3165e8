package whole

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"samphireflow/internal/admin"
	"samphireflow/internal/deployment"
)

// observeInterval is the time between two polls of a node.
const observeInterval = 100 * time.Millisecond

// nodeClient sends the version polls and the test lookups to nodes.
var nodeClient = &http.Client{Timeout: time.Second}

// observer polls the applied version of every node, across restarts, and records each decrease.
type observer struct {
	mu          sync.Mutex
	highest     map[string]uint64
	regressions []string
}

func newObserver() *observer {
	return &observer{highest: map[string]uint64{}}
}

func (o *observer) run(ctx context.Context, node deployment.Process) {
	for ctx.Err() == nil {
		if version, ok := appliedVersion(nodeClient, node); ok {
			o.record(node.Instance, version)
		}
		select {
		case <-ctx.Done():
		case <-time.After(observeInterval):
		}
	}
}

func appliedVersion(client *http.Client, node deployment.Process) (uint64, bool) {
	response, err := client.Get("http://" + node.AdminAddr + "/version")
	if err != nil {
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	var applied admin.Version
	if json.NewDecoder(response.Body).Decode(&applied) != nil {
		return 0, false
	}
	// A node that has just started has applied no configuration and reports version 0.
	return applied.Version, applied.Version != 0
}

func (o *observer) record(instance string, version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if version < o.highest[instance] {
		o.regressions = append(o.regressions, fmt.Sprintf("%s went from version %d to %d", instance, o.highest[instance], version))
	}
	o.highest[instance] = max(o.highest[instance], version)
}

func (o *observer) violations() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]string(nil), o.regressions...)
}
