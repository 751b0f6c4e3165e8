package calls_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"samphireflow/internal/calls"
)

// TestHopMetadataSurvivesTheHop writes and reads random metadata. Times are sent in milliseconds.
func TestHopMetadataSurvivesTheHop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		milliseconds := rapid.Int64Range(-3_600_000, 3_600_000)
		duration := func(label string) time.Duration {
			return time.Duration(milliseconds.Draw(t, label)) * time.Millisecond
		}
		sent := calls.HopMetadata{
			Server:     rapid.String().Draw(t, "server"),
			Route:      rapid.String().Draw(t, "route"),
			Priority:   rapid.Int().Draw(t, "priority"),
			Idempotent: rapid.Bool().Draw(t, "idempotent"),
			Repeated:   rapid.Bool().Draw(t, "repeated"),
			Inner:      rapid.Bool().Draw(t, "inner"),
			Customer:   rapid.String().Draw(t, "customer"),
			Objective:  duration("objective"),
			Deadline:   duration("deadline"),
			FinishBy:   duration("finish by"),

			LongResponse: rapid.Bool().Draw(t, "long response"),
		}
		header := http.Header{}
		sent.Write(header)
		received, err := calls.ReadHopMetadata(header)
		require.NoError(t, err)
		require.Equal(t, sent, received)
	})
}

// FuzzReadHopMetadata gives a gate header fields that another node, or anything else that reaches its port, may send.
func FuzzReadHopMetadata(f *testing.F) {
	f.Add("s-1 desk%2Fbook 1 0 1 court", "300 1200 225")
	f.Add("s-1 desk%2Fbook 1 0 1", "300 1200 225")
	f.Add("%zz r 1 0 1 ", "1 2 3")
	f.Add("    ", "  ")
	f.Add("a b 99999999999999999999 1 1 %zz", "9223372036854775807 -1 0")
	f.Fuzz(func(t *testing.T, call, times string) {
		header := http.Header{}
		header.Set(calls.HopCallHeader, call)
		header.Set(calls.HopTimesHeader, times)
		metadata, err := calls.ReadHopMetadata(header)
		if err != nil {
			return
		}
		again := http.Header{}
		metadata.Write(again)
		reread, err := calls.ReadHopMetadata(again)
		if err != nil || reread != metadata {
			t.Fatalf("%+v was written as %q and read as %+v, %v", metadata, again, reread, err)
		}
	})
}
