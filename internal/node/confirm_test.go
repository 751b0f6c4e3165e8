package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
)

// TestOnlyWordsOfTheNewestVersionConfirm: the word of an upstream that is itself behind, or that has not heard from a quorum
// for long, does not make the node's configuration current.
func TestOnlyWordsOfTheNewestVersionConfirm(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	a := &applier{current: &apiv1.Snapshot{Version: 7}}
	a.confirm(&apiv1.WatchResponse{AcceptedVersion: 8}, now)
	require.Zero(t, a.confirmedAt, "version 8 has been accepted elsewhere")
	a.confirm(&apiv1.WatchResponse{AcceptedVersion: 7, AgeMs: 400}, now)
	require.Equal(t, now.Add(-400*time.Millisecond), a.confirmedAt)
	a.confirm(&apiv1.WatchResponse{AcceptedVersion: 7, AgeMs: 900}, now.Add(100*time.Millisecond))
	require.Equal(t, now.Add(-400*time.Millisecond), a.confirmedAt, "an older word takes nothing back")
}
