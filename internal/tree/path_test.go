package tree

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestParsePathRoundTrip(t *testing.T) {
	for _, text := range []string{
		"/", "/sites/hobart", "/services/rota-board", "/services/rota-board/sites/hobart",
		"/services/rota-board/routes/lookup", "/services/rota-board/routes/lookup/sites/hobart", "/resources/pass-budget",
	} {
		path, err := ParsePath(text)
		require.NoError(t, err, text)
		require.Equal(t, text, path.String())
	}
}

func TestParsePathRejectsInvalidPaths(t *testing.T) {
	for _, text := range []string{"", "x", "/x", "/sites", "/sites/", "/sites/A", "/routes/r", "/sites/a/services/b", "/services/-a"} {
		_, err := ParsePath(text)
		require.ErrorIs(t, err, ErrBadPath, text)
	}
}
