package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
)

func TestCommonVersionIgnoresServersWithoutVersion(t *testing.T) {
	var servers []*apiv1.BackendServer
	for _, version := range []string{"", "", "", "v1"} {
		servers = append(servers, &apiv1.BackendServer{Service: "rota", Version: version, State: apiv1.ServerState_SERVER_STATE_READY})
	}
	for range 100 {
		require.Equal(t, "v1", commonVersion("rota", servers))
	}
}
