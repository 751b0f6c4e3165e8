package replica

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
)

// fixedHealth is a memberHealth with fixed answers. Each field lists identities.
type fixedHealth struct {
	silentIDs, deadIDs, laggingIDs string
}

func (h fixedHealth) silent(id string) bool { return strings.Contains(h.silentIDs+h.deadIDs, id) }
func (h fixedHealth) dead(id string) bool   { return strings.Contains(h.deadIDs, id) }
func (h fixedHealth) caughtUp(id string) bool {
	return !strings.Contains(h.laggingIDs+h.silentIDs+h.deadIDs, id)
}

// parseMembers returns members from words such as "a1", a voter with the name a and the identity a1, "d1?", a learner, and
// "a2!", a learner that takes the place of a removed voter of its name.
func parseMembers(words string) []*apiv1.ReplicaMember {
	var list []*apiv1.ReplicaMember
	for _, word := range strings.Fields(words) {
		id := strings.TrimRight(word, "?!")
		list = append(list, &apiv1.ReplicaMember{
			Id: id, Name: id[:1], ControlAddr: id[:1], Learner: id != word, TakesPlace: strings.HasSuffix(word, "!"),
		})
	}
	return list
}

// formatMembers is the inverse of parseMembers.
func formatMembers(members []*apiv1.ReplicaMember) string {
	var list []string
	for _, member := range members {
		word := member.Id
		switch {
		case member.TakesPlace:
			word += "!"
		case member.Learner:
			word += "?"
		}
		list = append(list, word)
	}
	return strings.Join(list, " ")
}

func TestNextMembership(t *testing.T) {
	for _, test := range []struct {
		name    string
		members string
		joiners string
		closed  bool
		invited string
		health  fixedHealth
		want    string
		// losses is the number of losses that are tolerated at once, 1 if it is 0.
		losses int
	}{
		{name: "nothing to do", members: "a1 b1 c1"},
		{name: "a new instance becomes a learner", members: "a1 b1 c1", joiners: "d1", want: "a1 b1 c1 d1?"},
		{name: "a new instance without an invitation waits", members: "a1 b1 c1", joiners: "d1", closed: true},
		{name: "an invited new instance becomes a learner", members: "a1 b1 c1", joiners: "d1", closed: true, invited: "d", want: "a1 b1 c1 d1?"},
		{name: "a learner that is behind waits", members: "a1 b1 c1 d1?", health: fixedHealth{laggingIDs: "d1"}},
		{name: "a learner that caught up becomes a voter", members: "a1 b1 c1 d1?", want: "a1 b1 c1 d1"},
		{name: "a learner replaces a dead voter", members: "a1 b1 c1 d1?", health: fixedHealth{deadIDs: "a1"}, want: "b1 c1 d1?"},
		{name: "a new identity waits while the old one is in contact", members: "a1 b1 c1", joiners: "a2"},
		{name: "a new identity becomes a learner once the old one is silent", members: "a1 b1 c1", joiners: "a2", health: fixedHealth{silentIDs: "a1"}, want: "a1 a2? b1 c1"},
		{name: "the old identity is removed before the new one becomes a voter", members: "a1 a2? b1 c1", health: fixedHealth{silentIDs: "a1"}, want: "a2! b1 c1"},
		{name: "a new identity takes its own place, not that of a dead voter", members: "a2! b1 c1 d1 e1", closed: true, health: fixedHealth{deadIDs: "e1"}, want: "a2 b1 c1 d1 e1"},
		{name: "a second new identity removes the learner of the first", members: "a1 a2? b1 c1", joiners: "a3", health: fixedHealth{silentIDs: "a1 a2"}, want: "a1 b1 c1"},
		{name: "a dead voter beside three live ones is removed", members: "a1 b1 c1 d1", health: fixedHealth{deadIDs: "a1"}, want: "b1 c1 d1"},
		{name: "two dead voters are removed one at a time", members: "a1 b1 c1 d1 e1", health: fixedHealth{deadIDs: "a1 b1"}, want: "b1 c1 d1 e1"},
		{name: "a dead voter beside five live ones is removed, where two may be lost", members: "a1 b1 c1 d1 e1 f1", health: fixedHealth{deadIDs: "a1"}, losses: 2, want: "b1 c1 d1 e1 f1"},
		{name: "a dead voter beside four live ones stays, where two may be lost", members: "a1 b1 c1 d1 e1 f1", health: fixedHealth{deadIDs: "a1 b1"}, losses: 2},
		{name: "a learner replaces a dead voter, where two may be lost", members: "a1 b1 c1 d1 e1 f1?", health: fixedHealth{deadIDs: "a1"}, losses: 2, want: "b1 c1 d1 e1 f1?"},
		{name: "a dead voter beside two live ones stays", members: "a1 b1 c1", health: fixedHealth{deadIDs: "a1"}},
		{name: "two dead voters beside two live ones stay", members: "a1 b1 c1 d1", health: fixedHealth{deadIDs: "a1 b1"}},
		{name: "a silent voter stays", members: "a1 b1 c1 d1", health: fixedHealth{silentIDs: "a1"}},
		{name: "a dead learner is removed", members: "a1 b1 c1 d1?", health: fixedHealth{deadIDs: "d1"}, want: "a1 b1 c1"},
		{name: "a closed group leaves dead voters to the operator", members: "a1 b1 c1 d1", closed: true, health: fixedHealth{deadIDs: "a1"}},
		{name: "a removed member joins again with its identity", members: "b1 c1 d1", joiners: "a1", want: "a1? b1 c1 d1"},
		{name: "an eighth instance stays a learner", members: "a1 b1 c1 d1 e1 f1 g1 h1?"},
		{name: "a learner takes the place of a dead voter of seven", members: "a1 b1 c1 d1 e1 f1 g1 h1?", health: fixedHealth{deadIDs: "c1"}, want: "a1 b1 d1 e1 f1 g1 h1?"},
		{name: "a learner completes seven voters", members: "a1 b1 c1 d1 e1 f1 h1? i1?", want: "a1 b1 c1 d1 e1 f1 h1 i1?"},
		{name: "a voter of seven that lost its disk gets its place back", members: "a1 a2? b1 c1 d1 e1 f1 g1 h1?", health: fixedHealth{silentIDs: "a1"}, want: "a2! b1 c1 d1 e1 f1 g1 h1?"},
		{name: "an operator may have eight voters", members: "a1 b1 c1 d1 e1 f1 g1 h1?", closed: true, want: "a1 b1 c1 d1 e1 f1 g1 h1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			invited := map[string]bool{test.invited: test.invited != ""}
			next, due := nextMembership(parseMembers(test.members), parseMembers(test.joiners), joinPolicy{!test.closed, invited, minVotersFor(max(test.losses, 1))}, test.health)
			require.Equal(t, test.want != "", due)
			require.Equal(t, test.want, formatMembers(next))
		})
	}
}

// TestVotersSpreadOverFailureDomains lets nine instances of three failure domains join a group whose first three members
// are in one of them.
func TestVotersSpreadOverFailureDomains(t *testing.T) {
	members := parseMembers("a1 b1 c1 d1? e1? f1? g1? h1? i1?")
	for i, member := range members {
		member.FailureDomain = []string{"north", "east", "south"}[i/3]
	}
	for {
		next, due := nextMembership(members, nil, joinPolicy{openGroup: true}, fixedHealth{})
		if !due {
			break
		}
		members = next
	}
	voters := map[string]int{}
	for _, member := range members {
		if !member.Learner {
			voters[member.FailureDomain]++
		}
	}
	require.Equal(t, map[string]int{"north": 3, "east": 2, "south": 2}, voters)
}
