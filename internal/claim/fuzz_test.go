package claim

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
)

// FuzzPeerMessages feeds a store arbitrary messages of peers. The store must not panic, must keep its accounting right and
// must not grant one key to two attempts.
func FuzzPeerMessages(f *testing.F) {
	for _, message := range []proto.Message{
		claimRequest(1, 1),
		&apiv1.FinishRequest{Key: "k", Attempt: Attempt{"n", 1, 1}.toProto(), Call: &apiv1.StoredCall{Status: 200, Body: []byte("x")}},
		&apiv1.FinishRequest{Key: "k", Release: true},
		&apiv1.SyncClaimsResponse{Claims: []*apiv1.Claim{{Key: "k", LeftMs: 1 << 62, Attempt: Attempt{"m", 2, 2}.toProto()}}},
	} {
		data, err := proto.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, data)
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		now := time.Unix(1000, 0)
		store := NewStore()
		granted := map[string]Attempt{}
		for _, data := range [][]byte{first, second, first} {
			claim := &apiv1.ClaimRequest{}
			if proto.Unmarshal(data, claim) == nil {
				attempt := attemptFromProto(claim.Attempt)
				if store.Claim(claim, now).Status == apiv1.ClaimStatus_CLAIM_STATUS_GRANTED {
					if other, ok := granted[claim.Key]; ok && other != attempt {
						t.Fatalf("%q is granted to %v and %v", claim.Key, other, attempt)
					}
					granted[claim.Key] = attempt
				}
			}
			finish := &apiv1.FinishRequest{}
			if proto.Unmarshal(data, finish) == nil && store.Finish(finish, now) && finish.Release {
				delete(granted, finish.Key)
			}
			synced := &apiv1.SyncClaimsResponse{}
			if proto.Unmarshal(data, synced) == nil {
				for _, claim := range synced.Claims {
					store.Merge(claim, now)
				}
			}
			if store.bytes < 0 || store.Len() != len(store.byExpiry) {
				t.Fatalf("%d bytes, %d claims, %d in the heap", store.bytes, store.Len(), len(store.byExpiry))
			}
		}
	})
}
