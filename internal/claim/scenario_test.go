package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
)

func claimOf(number uint64, epoch uint64) *apiv1.ClaimRequest {
	return &apiv1.ClaimRequest{
		FailureDomain: "hobart", Epoch: epoch, Key: "k", Digest: []byte("d"), Attempt: Attempt{"n", 1, number}.message(), RetentionMs: 60_000,
	}
}

// TestHolderOfALaterEpochRefuses shows why holders answer for their own epoch only: a removed holder that has not heard
// of it and one that has would otherwise make a majority that the new holder knows nothing of.
func TestHolderOfALaterEpochRefuses(t *testing.T) {
	w := newWorld(1)
	h0, h1 := w.holders["h0"], w.holders["h1"]
	next := &apiv1.Assignment{FailureDomain: "hobart", Role: w.latest().Role, Epoch: 2}
	next.Nodes = append(next.Nodes, w.latest().Nodes[1:]...)
	w.start("h3")
	next.Nodes = append(next.Nodes, &apiv1.AssignedNode{Instance: "h3", Incarnation: 1, SinceEpoch: 2})
	w.sets = append(w.sets, next)
	for _, name := range []string{"h1", "h2", "h3", "h3"} {
		w.observe(w.holders[name])
	}
	_, ok := h0.seat.Check("hobart", 1)
	require.True(t, ok, "the removed holder has not heard of it")
	status, ok := h1.seat.Check("hobart", 1)
	require.False(t, ok)
	require.Equal(t, apiv1.ClaimStatus_CLAIM_STATUS_WRONG_EPOCH, status)
	status, ok = w.holders["h3"].seat.Check("hobart", 2)
	require.False(t, ok)
	require.Equal(t, apiv1.ClaimStatus_CLAIM_STATUS_ABSTAINS, status)
}

// TestConflictingClaimsBelongToNobody shows a holder that reads two unfinished attempts at one key, either of which may
// have the majority with the holder's lost vote.
func TestConflictingClaimsBelongToNobody(t *testing.T) {
	now := time.Unix(1000, 0)
	first, second, blank := NewStore(), NewStore(), NewStore()
	first.Claim(claimOf(1, 1), now)
	second.Claim(claimOf(2, 1), now)
	for _, store := range []*Store{first, second} {
		claims, _ := store.Page("", pageLimit, now)
		for _, claim := range claims {
			blank.Merge(claim, now)
		}
	}
	for number := range uint64(3) {
		require.Equal(t, apiv1.ClaimStatus_CLAIM_STATUS_TAKEN, blank.Claim(claimOf(number+1, 1), now).Status)
	}
}

func TestClaimsLapseAndMemoryIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	store := NewStore()
	granted := 0
	for i := range 200_000 {
		request := claimOf(1, 1)
		request.Key = fmt.Sprint("key-", i)
		if store.Claim(request, now).Status == apiv1.ClaimStatus_CLAIM_STATUS_GRANTED {
			granted++
		}
	}
	require.Equal(t, granted, store.Len())
	require.LessOrEqual(t, store.Bytes(), maxStoreBytes)
	require.Greater(t, granted, 50_000)
	require.Equal(t, apiv1.ClaimStatus_CLAIM_STATUS_TAKEN, func() apiv1.ClaimStatus {
		request := claimOf(2, 1)
		request.Key = "key-0"
		return store.Claim(request, now.Add(time.Minute)).Status
	}())
	request := claimOf(2, 1)
	request.Key = "key-0"
	require.Equal(t, apiv1.ClaimStatus_CLAIM_STATUS_GRANTED, store.Claim(request, now.Add(time.Minute+MaxCallDuration)).Status)
	require.Equal(t, 1, store.Len())
}

func TestFinishGivesTheFirstAnswer(t *testing.T) {
	now := time.Unix(1000, 0)
	store := NewStore()
	store.Claim(claimOf(1, 1), now)
	changed := store.Changed("k")
	first := &apiv1.StoredCall{Status: 200, Body: []byte("one")}
	require.True(t, store.Finish(&apiv1.FinishRequest{Key: "k", Attempt: Attempt{"n", 1, 1}.message(), Call: first}, now))
	<-changed
	require.False(t, store.Finish(&apiv1.FinishRequest{Key: "k", Attempt: Attempt{"n", 1, 2}.message(), Call: &apiv1.StoredCall{Status: 500}}, now))
	require.False(t, store.Finish(&apiv1.FinishRequest{Key: "k", Attempt: Attempt{"n", 1, 1}.message(), Release: true}, now), "a finished key is not freed")
	require.True(t, proto.Equal(first, store.Claim(claimOf(2, 1), now).Call))
	other := claimOf(3, 1)
	other.Digest = []byte("e")
	require.Equal(t, apiv1.ClaimStatus_CLAIM_STATUS_MISMATCH, store.Claim(other, now).Status)
}

func TestHomeOfAKeyIsNamedOrSpread(t *testing.T) {
	set := func(domain string) *apiv1.Assignment {
		return &apiv1.Assignment{
			FailureDomain: domain, Role: apiv1.AssignmentRole_ASSIGNMENT_ROLE_CLAIM_HOLDER, HomeDomains: []string{"burnie", "hobart"},
		}
	}
	all := []*apiv1.Assignment{set("burnie"), set("hobart"), set("late")}
	require.Equal(t, "late", Home("late/booking", all).FailureDomain)
	homes := map[string]int{}
	for i := range 1000 {
		key := fmt.Sprint("booking-", i)
		home := Home(key, all).FailureDomain
		homes[home]++
		if home == "hobart" {
			require.Nil(t, Home(key, all[:1]), "a key has no other home while its own is not known")
		}
	}
	require.Zero(t, homes["late"])
	require.Greater(t, homes["burnie"], 400)
	require.Greater(t, homes["hobart"], 400)
}
