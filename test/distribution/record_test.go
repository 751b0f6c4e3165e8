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

// apply is a log line of a node that begins to act on a configuration.
type apply struct {
	Message string `json:"message"`
	Version uint64 `json:"version"`
	Term    uint64 `json:"config_term"`
	Digest  string `json:"digest"`
}

// applies reads every apply of a node from its log, over all its starts.
func applies(t *testing.T, d *deployment.Deployment, node deployment.Process) []apply {
	t.Helper()
	text, err := d.ReadLog(node)
	require.NoError(t, err)
	var list []apply
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		var line apply
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Message == "configuration applied" {
			list = append(list, line)
		}
	}
	require.NoError(t, lines.Err())
	return list
}

// requireNoStepBack checks every apply of every node: neither version nor term decrease, and one version has one
// content in a failure domain.
func requireNoStepBack(t *testing.T, d *deployment.Deployment) {
	t.Helper()
	type content struct {
		domain  string
		version uint64
	}
	digests := map[content]string{}
	for _, node := range harness.ByRole(d, deployment.RoleNode) {
		var last apply
		for _, next := range applies(t, d, node) {
			require.GreaterOrEqual(t, next.Version, last.Version, node.Instance)
			require.GreaterOrEqual(t, next.Term, last.Term, node.Instance)
			key := content{node.FailureDomain, next.Version}
			if known, ok := digests[key]; ok {
				require.Equal(t, known, next.Digest, "%s, version %d", node.Instance, next.Version)
			}
			digests[key] = next.Digest
			last = next
		}
		require.NotZero(t, last.Version, "%s applied nothing", node.Instance)
	}
}
