package shell

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireflow/internal/admin"
)

func TestAdminAddress(t *testing.T) {
	s := startSmall(t)
	for _, addr := range []string{s.node.AdminAddr, s.control.AdminAddr} {
		base := "http://" + addr
		require.Contains(t, get(t, base+"/livez"), "alive")
		require.Contains(t, get(t, base+"/readyz"), "ready")
		require.Contains(t, get(t, base+"/metrics"), "process_cpu_seconds_total")
		// The control group makes a new version when it assigns relays, so the newest version may change during the test.
		require.Eventually(t, func() bool { return appliedVersion(t, base) == s.acceptedVersion(t) }, startTimeout, pollInterval)
	}
}

func appliedVersion(t *testing.T, base string) uint64 {
	t.Helper()
	var version admin.Version
	require.NoError(t, json.Unmarshal([]byte(get(t, base+"/version")), &version))
	return version.Version
}

func TestLogLevelChangesAtRuntime(t *testing.T) {
	s := startSmall(t)
	url := "http://" + s.node.AdminAddr + "/loglevel"
	require.Contains(t, get(t, url), "info")
	require.Equal(t, http.StatusOK, putLogLevel(t, url, "debug"))
	require.Contains(t, get(t, url), "debug")
	require.Equal(t, http.StatusBadRequest, putLogLevel(t, url, "loud"))
	require.Contains(t, get(t, url), "debug")
}

func putLogLevel(t *testing.T, url, level string) int {
	t.Helper()
	request, err := http.NewRequest(http.MethodPut, url, strings.NewReader(`{"level": "`+level+`"}`))
	require.NoError(t, err)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	return response.StatusCode
}
