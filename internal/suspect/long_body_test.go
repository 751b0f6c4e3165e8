package suspect

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

var errNoMemoryForTest = errors.New("no memory")

func reserveAll(int64) error { return nil }

// TestIdentityPartsAreKeptApart guards against two requests that share a fingerprint because their parts are joined.
func TestIdentityPartsAreKeptApart(t *testing.T) {
	seen := map[Fingerprint]Identity{}
	for _, identity := range []Identity{
		{}, {Caller: "a"}, {Customer: "a"}, {Method: "a"}, {Host: "a"}, {Target: "a"}, {Caller: "ab"}, {Caller: "a", Customer: "b"},
		{Caller: "a\x00b"}, {Caller: "a", Target: "b"},
	} {
		for _, body := range []string{"", "a", "ab"} {
			fingerprint := identity.Fingerprint([]byte(body))
			require.NotContains(t, seen, fingerprint)
			seen[fingerprint] = identity
		}
	}
	require.Equal(t, Identity{Host: "H.example"}.Fingerprint(nil), Identity{Host: "h.example"}.Fingerprint(nil))
}

// TestLongBodyIsPassedOnUnchanged reads bodies after none, a part or all of them was held, with a length and without one.
func TestLongBodyIsPassedOnUnchanged(t *testing.T) {
	identity := Identity{Caller: "desk", Target: "/1"}
	text := strings.Repeat("0123456789", 20_000)
	for _, declared := range []int64{int64(len(text)), -1} {
		for _, limit := range []int64{0, 1, 100_000, int64(len(text)), int64(len(text)) + 1} {
			body := NewLongBody(iotest.HalfReader(strings.NewReader(text)), declared, identity)
			require.NoError(t, body.Hold(t.Context(), limit, reserveAll))
			fingerprint, known := body.fingerprint()
			if known {
				require.Equal(t, identity.Fingerprint([]byte(text)), fingerprint)
			}
			require.Equal(t, limit > int64(len(text)) || limit == int64(len(text)) && declared >= 0, known)
			passed, err := io.ReadAll(body)
			require.NoError(t, err)
			require.Equal(t, text, string(passed))
			fingerprint, known = body.fingerprint()
			require.True(t, known)
			require.Equal(t, identity.Fingerprint([]byte(text)), fingerprint)
		}
	}
}

// TestLongBodyIsHeldWithinItsMemory guards against bodies that are read without memory for them, and against a call that waits for
// the rest of a body beyond its deadline.
func TestLongBodyIsHeldWithinItsMemory(t *testing.T) {
	text := strings.Repeat("x", 300_000)
	taken := int64(0)
	body := NewLongBody(strings.NewReader(text), -1, Identity{})
	err := body.Hold(t.Context(), 200_000, func(bytes int64) error {
		if taken += bytes; taken > 150_000 {
			return errNoMemoryForTest
		}
		return nil
	})
	require.ErrorIs(t, err, errNoMemoryForTest)
	require.LessOrEqual(t, body.read, int64(150_000))

	stalled, _ := io.Pipe()
	body = NewLongBody(stalled, 100, Identity{})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, body.Hold(ctx, 100, reserveAll), context.DeadlineExceeded)
	_, known := body.wholeFingerprint(ctx)
	require.False(t, known)
	_, known = body.fingerprint()
	require.False(t, known, "a body that is still read")
}
