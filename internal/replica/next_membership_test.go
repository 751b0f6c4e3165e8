package replica

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
)

// fixedView is a leader's view with fixed answers, by identity.
type fixedView struct {
	silentIDs, deadIDs, lateIDs string
}

func (v fixedView) silent(id string) bool { return strings.Contains(v.silentIDs+v.deadIDs, id) }
func (v fixedView) dead(id string) bool   { return strings.Contains(v.deadIDs, id) }
func (v fixedView) caughtUp(id string) bool {
	return !strings.Contains(v.lateIDs+v.silentIDs+v.deadIDs, id)
}

// group reads members from words such as "a1" (name a, folder 1) and "d1?" (a learner).
func group(words string) []*apiv1.ReplicaMember {
	var list []*apiv1.ReplicaMember
	for _, word := range strings.Fields(words) {
		id, learner := strings.CutSuffix(word, "?")
		list = append(list, &apiv1.ReplicaMember{Id: id, Name: id[:1], ControlAddr: id[:1], Learner: learner})
	}
	return list
}

func words(members []*apiv1.ReplicaMember) string {
	var list []string
	for _, member := range members {
		word := member.Id
		if member.Learner {
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
		asking  string
		closed  bool
		invited string
		view    fixedView
		want    string
	}{
		{name: "nothing to do", members: "a1 b1 c1"},
		{name: "a newcomer becomes a learner", members: "a1 b1 c1", asking: "d1", want: "a1 b1 c1 d1?"},
		{name: "a newcomer that nobody invited waits", members: "a1 b1 c1", asking: "d1", closed: true},
		{name: "an invited newcomer becomes a learner", members: "a1 b1 c1", asking: "d1", closed: true, invited: "d", want: "a1 b1 c1 d1?"},
		{name: "a learner that is behind waits", members: "a1 b1 c1 d1?", view: fixedView{lateIDs: "d1"}},
		{name: "a learner that caught up votes", members: "a1 b1 c1 d1?", want: "a1 b1 c1 d1"},
		{name: "a learner takes the place of a dead voter", members: "a1 b1 c1 d1?", view: fixedView{deadIDs: "a1"}, want: "b1 c1 d1?"},
		{name: "a blank folder waits while the old one is heard", members: "a1 b1 c1", asking: "a2"},
		{name: "a blank folder follows the old one", members: "a1 b1 c1", asking: "a2", view: fixedView{silentIDs: "a1"}, want: "a1 a2? b1 c1"},
		{name: "the old folder goes before the new one votes", members: "a1 a2? b1 c1", view: fixedView{silentIDs: "a1"}, want: "a2? b1 c1"},
		{name: "a second blank folder of a learner replaces the first", members: "a1 a2? b1 c1", asking: "a3", view: fixedView{silentIDs: "a1 a2"}, want: "a1 b1 c1"},
		{name: "a dead voter beside three live ones goes", members: "a1 b1 c1 d1", view: fixedView{deadIDs: "a1"}, want: "b1 c1 d1"},
		{name: "of two dead voters one goes at a time", members: "a1 b1 c1 d1 e1", view: fixedView{deadIDs: "a1 b1"}, want: "b1 c1 d1 e1"},
		{name: "a dead voter beside two live ones stays", members: "a1 b1 c1", view: fixedView{deadIDs: "a1"}},
		{name: "two dead voters beside two live ones stay", members: "a1 b1 c1 d1", view: fixedView{deadIDs: "a1 b1"}},
		{name: "a silent voter stays", members: "a1 b1 c1 d1", view: fixedView{silentIDs: "a1"}},
		{name: "a dead learner goes", members: "a1 b1 c1 d1?", view: fixedView{deadIDs: "d1"}, want: "a1 b1 c1"},
		{name: "operators remove the dead of a closed group", members: "a1 b1 c1 d1", closed: true, view: fixedView{deadIDs: "a1"}},
		{name: "a removed member joins again with its folder", members: "b1 c1 d1", asking: "a1", want: "a1? b1 c1 d1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			invited := map[string]bool{test.invited: test.invited != ""}
			next, due := nextMembership(group(test.members), group(test.asking), admission{!test.closed, invited}, test.view)
			require.Equal(t, test.want != "", due)
			require.Equal(t, test.want, words(next))
		})
	}
}
