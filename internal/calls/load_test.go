package calls

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLoadRoundTrip(t *testing.T) {
	for text, want := range map[string]Load{
		"3,0,8":         {Running: 3, Slots: 8},
		"3,1,8,250":     {Running: 3, Waiting: 1, Slots: 8, Slowdown: 2.5},
		"3,1,8,250,40":  {Running: 3, Waiting: 1, Slots: 8, Slowdown: 2.5, LinkWait: 40 * time.Millisecond},
		"18,7,18,0,400": {Running: 18, Waiting: 7, Slots: 18, LinkWait: 400 * time.Millisecond},
	} {
		got, ok := ParseLoad(text)
		require.True(t, ok, text)
		require.Equal(t, want, got)
		require.Equal(t, text, want.String())
	}
	for _, text := range []string{"", "3,0", "3,0,8,1,2,3", "3,-1,8", "3,0,8,x"} {
		_, ok := ParseLoad(text)
		require.False(t, ok, text)
	}
}
