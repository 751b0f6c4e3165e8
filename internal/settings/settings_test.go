package settings

import (
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestParseReportsAllFaults(t *testing.T) {
	_, err := Parse([]string{"--role", "chief", "--instance", "A", "--control-addr", "host:1", "--control-peers", "x", "--trace-sample", "2"}, io.Discard)
	require.ErrorIs(t, err, ErrInvalid)
	for _, part := range []string{"--role", "--instance", "--failure-domain", "--region", "--control-addr", "--admin-addr", "--control-peers", "--trace-sample"} {
		require.ErrorContains(t, err, part)
	}
}

func TestParseReadsFlagsAndEnvironment(t *testing.T) {
	t.Setenv("SAMPHIREFLOW_FAILURE_DOMAIN", "hobart")
	s, err := Parse([]string{"--role", "node", "--instance", "n1", "--region", "south", "--control-addr", "127.0.0.1:1",
		"--caller-addr", "127.0.0.1:2", "--admin-addr", "127.0.0.1:3", "--control-peers", "c1=127.0.0.1:4,c2=127.0.0.1:5"}, io.Discard)
	require.NoError(t, err)
	require.Equal(t, "hobart", s.FailureDomain)
	require.Equal(t, []string{"127.0.0.1:4", "127.0.0.1:5"}, s.ControlAddrs())
}

func TestParseRejectsUnknownFlag(t *testing.T) {
	_, err := Parse([]string{"--no-such"}, io.Discard)
	require.ErrorIs(t, err, ErrUsage)
}
