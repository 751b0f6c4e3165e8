package snapshot

import (
	"testing"

	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/tree"
)

func customerSnapshot(version uint64, evacuated []string, names ...string) *apiv1.Snapshot {
	snap := &apiv1.Snapshot{Version: version, EvacuatedDomains: evacuated}
	for _, name := range names {
		snap.Customers = append(snap.Customers, &apiv1.CustomerConfig{Name: name, Settings: []*apiv1.Setting{{Key: tree.KeyCustomerRate, Value: "4"}}})
	}
	snap.Digest = Digest(snap)
	return snap
}

// TestDeltaCarriesCustomersAndEvacuatedDomains: a node that lost one of either would serve withdrawn keys or a failure domain
// that is to be empty, so the digest covers both.
func TestDeltaCarriesCustomersAndEvacuatedDomains(t *testing.T) {
	from := customerSnapshot(1, nil, "council", "court")
	to := customerSnapshot(2, []string{"hobart"}, "court", "tribunal")
	to.Customers[0].Settings[0].Value = "5"
	to.Digest = Digest(to)
	delta := Diff(from, to)
	require.Len(t, delta.Customers, 2)
	require.Equal(t, []string{"council"}, delta.RemovedCustomers)
	next, err := Apply(from, delta)
	require.NoError(t, err)
	require.Equal(t, []string{"hobart"}, next.EvacuatedDomains)
	require.Len(t, next.Customers, 2)
	shared := ShareUnchanged(from, next)
	require.Equal(t, to.Digest, Digest(shared))
	shared.Customers = shared.Customers[:1]
	require.Error(t, Check(shared))
	shared.Customers, shared.EvacuatedDomains = next.Customers, nil
	require.Error(t, Check(shared))
}
