package customer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCustomersAreFoundByTheirKeys(t *testing.T) {
	court := &Customer{Name: "court", Rate: 4, Burst: 8}
	council := &Customer{Name: "council"}
	d := NewDirectory([]Entry{
		{court, []Digest{DigestOf("k1"), DigestOf("k2")}},
		{council, nil},
	})
	require.Same(t, court, d.ByKey("k1"))
	require.Same(t, court, d.ByKey("k2"))
	require.Nil(t, d.ByKey("k3"))
	require.Nil(t, d.ByKey(""))
	require.Same(t, council, d.ByName("council"))
	require.Equal(t, 2, d.Len())
	require.Nil(t, (*Directory)(nil).ByKey("k1"))
}

func TestDigestDoesNotRevealTheKey(t *testing.T) {
	digest := DigestOf("w679qfc3")
	require.NotContains(t, digest.String(), "w679qfc3")
	parsed, ok := ParseDigest(digest.String())
	require.True(t, ok)
	require.Equal(t, digest, parsed)
	for _, bad := range []string{"", "zz", digest.String() + "00"} {
		_, ok := ParseDigest(bad)
		require.False(t, ok, bad)
	}
}
