package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/distribution"
)

// newDirectSelector returns the selector of a node in the failure domain north that knows two seeds.
func newDirectSelector() *selector {
	dial := func(addr string) *distribution.Client { return &distribution.Client{Addr: addr} }
	return newSelector(Options{Instance: "n", FailureDomain: "north", Control: []string{"1", "2"}}, nil, dial)
}

// newNearSelector returns the selector of a node that watches the control instance 3 of its failure domain, and the client
// of that one.
func newNearSelector() (*selector, *distribution.Client) {
	s := newDirectSelector()
	s.learnControlInstances(group())
	s.switchTo(s.nearer())
	near, _ := s.choice()
	return s, near
}

// group lists the control instances of three failure domains, of which the seeds are in other ones than the node.
func group() []*apiv1.ControlInstance {
	return []*apiv1.ControlInstance{
		{ControlAddr: "1", FailureDomain: "south"}, {ControlAddr: "2", FailureDomain: "east"}, {ControlAddr: "3", FailureDomain: "north"},
	}
}

func TestNodePrefersControlInstanceOfItsFailureDomain(t *testing.T) {
	for range 50 {
		s := newDirectSelector()
		require.Nil(t, s.nearer(), "no failure domain is known yet")
		before, _ := s.choice()
		require.True(t, s.learnControlInstances(group()))
		kept, _ := s.choice()
		require.Same(t, before, kept, "learning does not interrupt the watch")
		require.Equal(t, "3", s.nearer().Addr)
		s.switchTo(s.nearer())
		near, _ := s.choice()
		require.Equal(t, "3", near.Addr)
		require.Nil(t, s.nearer())
		require.False(t, s.learnControlInstances(group()))
	}
}

func TestNodeReturnsToItsFailureDomainAfterAFailure(t *testing.T) {
	s, near := newNearSelector()
	s.failOver(near)
	far, _ := s.choice()
	require.NotEqual(t, "3", far.Addr)
	require.Equal(t, "3", s.nearer().Addr)
}

// TestSeedsDoNotHideFailureDomains reads settings again, which name addresses without failure domains.
func TestSeedsDoNotHideFailureDomains(t *testing.T) {
	s := newDirectSelector()
	s.learnControlInstances(group())
	require.False(t, s.learnControlInstances([]*apiv1.ControlInstance{{ControlAddr: "3"}}))
	require.Equal(t, "3", s.nearer().Addr)
	require.True(t, s.learnControlInstances([]*apiv1.ControlInstance{{ControlAddr: "4"}}))
	require.Equal(t, "3", s.nearer().Addr)
}

// TestReplacedControlInstanceIsPreferred replaces the control instance of the failure domain by one at another address.
func TestReplacedControlInstanceIsPreferred(t *testing.T) {
	s, gone := newNearSelector()
	s.failOver(gone)
	s.learnControlInstances([]*apiv1.ControlInstance{{ControlAddr: "4", FailureDomain: "north"}})
	require.Eventually(t, func() bool { return s.nearer().Addr == "4" }, time.Second, time.Microsecond, "the old one is not the only choice")
}
