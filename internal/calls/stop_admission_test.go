package calls

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStoppingNodeTakesWhatEndsInTime lists calls at a node whose stop began at second 0, takes all calls until second 3 and
// ends at second 9.
func TestStoppingNodeTakesWhatEndsInTime(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	var admission StopAdmission
	require.True(t, admission.Admits(at(0), at(100)), "a node that does not stop takes all")
	admission.Begin(at(3), at(9))
	for _, c := range []struct {
		name          string
		now, deadline float64
		want          bool
	}{
		{"early, with any time limit", 2.9, 100, true},
		{"late, ends in time", 4, 6, true},
		{"late, ends just in time", 4, 9, true},
		{"late, may end after the process", 4, 9.1, false},
		{"pipelined behind a long call, ends in time", 8, 8.5, true},
		{"at the end", 8.9, 10, false},
	} {
		require.Equal(t, c.want, admission.Admits(at(c.now), at(c.deadline)), c.name)
	}
}
