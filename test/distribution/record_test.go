package distribution

import (
	"bufio"
	"bytes"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireflow/internal/deployment"
	"samphireflow/test/harness"
)

// appliedConfig is the log line that a node writes when it applies a configuration.
type appliedConfig struct {
	Message string `json:"message"`
	Version uint64 `json:"version"`
	Term    uint64 `json:"config_term"`
	Digest  string `json:"digest"`
}

// readAppliedConfigs reads all configurations that a node has applied from its log, across restarts.
func readAppliedConfigs(t *testing.T, d *deployment.Deployment, node deployment.Process) []appliedConfig {
	t.Helper()
	text, err := d.ReadLog(node)
	require.NoError(t, err)
	var list []appliedConfig
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		var line appliedConfig
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Message == "configuration applied" {
			list = append(list, line)
		}
	}
	require.NoError(t, lines.Err())
	return list
}

// requireVersionsNeverDecrease checks the log of every node: neither the version nor the term decreases, and all nodes of
// a failure domain apply the same content for a version.
func requireVersionsNeverDecrease(t *testing.T, d *deployment.Deployment) {
	t.Helper()
	type contentKey struct {
		domain  string
		version uint64
	}
	digests := map[contentKey]string{}
	for _, node := range harness.ByRole(d, deployment.RoleNode) {
		var last appliedConfig
		for _, next := range readAppliedConfigs(t, d, node) {
			require.GreaterOrEqual(t, next.Version, last.Version, node.Instance)
			require.GreaterOrEqual(t, next.Term, last.Term, node.Instance)
			key := contentKey{node.FailureDomain, next.Version}
			if known, ok := digests[key]; ok {
				require.Equal(t, known, next.Digest, "%s, version %d", node.Instance, next.Version)
			}
			digests[key] = next.Digest
			last = next
		}
		require.NotZero(t, last.Version, "%s applied nothing", node.Instance)
	}
}
