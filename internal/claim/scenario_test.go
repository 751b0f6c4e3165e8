package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
)

func claimRequest(number uint64, epoch uint64) *apiv1.ClaimRequest {
	return &apiv1.ClaimRequest{
		FailureDomain: "hobart", Epoch: epoch, Key: "k", Digest: []byte("d"), Attempt: Attempt{"n", 1, number}.toProto(), RetentionMs: 60_000,
	}
}

// TestHolderOfALaterEpochRefuses checks that holders vote in their own epoch only. Otherwise a removed holder that does not
// know of its removal and a holder of the new set could form a majority, and the new holder would lack the claim.
func TestHolderOfALaterEpochRefuses(t *testing.T) {
	s := newSimulation(1)
	h0, h1 := s.holders["h0"], s.holders["h1"]
	next := &apiv1.Assignment{FailureDomain: "hobart", Role: s.latest().Role, Epoch: 2}
	next.Nodes = append(next.Nodes, s.latest().Nodes[1:]...)
	s.start("h3")
	next.Nodes = append(next.Nodes, &apiv1.AssignedNode{Instance: "h3", Incarnation: 1, SinceEpoch: 2})
	s.sets = append(s.sets, next)
	for _, name := range []string{"h1", "h2", "h3", "h3"} {
		s.observe(s.holders[name])
	}
	_, ok := h0.membership.Check("hobart", 1)
	require.True(t, ok, "the removed holder does not know of its removal")
	status, ok := h1.membership.Check("hobart", 1)
	require.False(t, ok)
	require.Equal(t, apiv1.ClaimStatus_CLAIM_STATUS_WRONG_EPOCH, status)
	status, ok = s.holders["h3"].membership.Check("hobart", 2)
	require.False(t, ok)
	require.Equal(t, apiv1.ClaimStatus_CLAIM_STATUS_ABSTAINS, status)
}

// TestConflictingClaimsBelongToNoAttempt checks a restarted holder that reads claims of two unfinished attempts at one key.
// Either of them may have a majority with the vote that the holder gave before its restart, so neither is granted the key.
func TestConflictingClaimsBelongToNoAttempt(t *testing.T) {
	now := time.Unix(1000, 0)
	first, second, restarted := NewStore(), NewStore(), NewStore()
	first.Claim(claimRequest(1, 1), now)
	second.Claim(claimRequest(2, 1), now)
	for _, store := range []*Store{first, second} {
		claims, _ := store.Page("", pageLimit, now)
		for _, claim := range claims {
			restarted.Merge(claim, now)
		}
	}
	for number := range uint64(3) {
		require.Equal(t, apiv1.ClaimStatus_CLAIM_STATUS_TAKEN, restarted.Claim(claimRequest(number+1, 1), now).Status)
	}
}

func TestClaimsExpireAndMemoryIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	store := NewStore()
	granted := 0
	for i := range 200_000 {
		request := claimRequest(1, 1)
		request.Key = fmt.Sprint("key-", i)
		if store.Claim(request, now).Status == apiv1.ClaimStatus_CLAIM_STATUS_GRANTED {
			granted++
		}
	}
	require.Equal(t, granted, store.Len())
	require.LessOrEqual(t, store.Bytes(), maxStoreBytes)
	require.Greater(t, granted, 50_000)
	require.Equal(t, apiv1.ClaimStatus_CLAIM_STATUS_TAKEN, func() apiv1.ClaimStatus {
		request := claimRequest(2, 1)
		request.Key = "key-0"
		return store.Claim(request, now.Add(time.Minute)).Status
	}())
	request := claimRequest(2, 1)
	request.Key = "key-0"
	require.Equal(t, apiv1.ClaimStatus_CLAIM_STATUS_GRANTED, store.Claim(request, now.Add(time.Minute+MaxCallDuration)).Status)
	require.Equal(t, 1, store.Len())
}

func TestFinishKeepsTheFirstResponse(t *testing.T) {
	now := time.Unix(1000, 0)
	store := NewStore()
	store.Claim(claimRequest(1, 1), now)
	changed := store.Changed("k")
	first := &apiv1.StoredCall{Status: 200, Body: []byte("one")}
	require.True(t, store.Finish(&apiv1.FinishRequest{Key: "k", Attempt: Attempt{"n", 1, 1}.toProto(), Call: first}, now))
	<-changed
	require.False(t, store.Finish(&apiv1.FinishRequest{Key: "k", Attempt: Attempt{"n", 1, 2}.toProto(), Call: &apiv1.StoredCall{Status: 500}}, now))
	require.False(t, store.Finish(&apiv1.FinishRequest{Key: "k", Attempt: Attempt{"n", 1, 1}.toProto(), Release: true}, now), "a finished key is not freed")
	require.True(t, proto.Equal(first, store.Claim(claimRequest(2, 1), now).Call))
	other := claimRequest(3, 1)
	other.Digest = []byte("e")
	require.Equal(t, apiv1.ClaimStatus_CLAIM_STATUS_MISMATCH, store.Claim(other, now).Status)
}

func TestHomeOfAKeyIsNamedOrHashed(t *testing.T) {
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
			require.Nil(t, Home(key, all[:1]), "a key has no other home while the holders of its own are not known")
		}
	}
	require.Zero(t, homes["late"])
	require.Greater(t, homes["burnie"], 400)
	require.Greater(t, homes["hobart"], 400)
}
