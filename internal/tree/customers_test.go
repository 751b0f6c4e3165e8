package tree

import (
	"testing"

	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
)

const (
	digestA = "0123456789abcdef0123456789abcdef"
	digestB = "00000000000000000000000000000001"
)

func customerBranch(name, digests string) *apiv1.Branch {
	return &apiv1.Branch{Path: "/customers/" + name, Settings: []*apiv1.Setting{{Key: KeyCustomerKeyDigests, Value: digests}}}
}

// replace applies the branches of a document to a tree.
func replace(t *testing.T, before *Tree, branches ...*apiv1.Branch) (*Tree, []*apiv1.Fault) {
	edits, faults := before.ReplaceServices(branches)
	require.Empty(t, faults)
	after, conflicts, faults := before.Apply(&apiv1.EditRequest{Branches: edits}, 1)
	require.Empty(t, conflicts)
	return after, faults
}

func TestDocumentReplacesCustomers(t *testing.T) {
	authenticated := &apiv1.Branch{Path: "/", Settings: []*apiv1.Setting{{Key: KeyCallerAuthenticated, Value: "true"}}}
	first, faults := replace(t, New(), authenticated, customerBranch("court", digestA), customerBranch("council", digestB))
	require.Empty(t, faults)
	require.Equal(t, "true", first.Text(Path{Level: LevelGlobal}, KeyCallerAuthenticated))
	second, faults := replace(t, first, &apiv1.Branch{Path: "/"}, customerBranch("court", digestB+" "+digestA+" "+digestB))
	require.Empty(t, faults)
	require.Nil(t, second.Branch(Path{Level: LevelCustomer, Customer: "council"}))
	digests, _ := second.Branch(Path{Level: LevelCustomer, Customer: "court"}).Get(KeyCustomerKeyDigests)
	require.Equal(t, digestB+" "+digestA, digests)
	require.Empty(t, second.Text(Path{Level: LevelGlobal}, KeyCallerAuthenticated), "a document without customers asks for no keys")
}

func TestCustomersDoNotShareKeys(t *testing.T) {
	_, faults := replace(t, New(), customerBranch("court", digestA), customerBranch("council", digestB+" "+digestA))
	require.Len(t, faults, 1)
	require.Equal(t, KeyCustomerKeyDigests, faults[0].Key)
	_, faults = replace(t, New(), customerBranch("court", "a key"))
	require.Len(t, faults, 1)
}
