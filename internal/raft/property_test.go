package raft

import (
	"testing"

	"pgregory.net/rapid"

	apiv1 "samphireflow/api/v1"
)

// healRounds is how many ticks the group gets to settle once the faults are over.
const healRounds = 400

// TestAgreementUnderFaults drives a group through reordered, dropped and repeated messages, crashes that lose what
// was not persisted, snapshots, reads and membership changes, and checks safety at every step. Then the faults end,
// and the group has to commit again.
func TestAgreementUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		cfg := Config{ElectionTicks: 4, HeartbeatTicks: 1, MaxInflight: 3, SnapshotChunkBytes: 3, RetainedEntries: 1}
		c := newCluster(t, seed, rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "voters"), 2, cfg)
		pick := func() *member { return c.members[rapid.IntRange(0, len(c.members)-1).Draw(t, "member")] }
		message := func() int { return rapid.IntRange(0, len(c.network)-1).Draw(t, "message") }
		for step := rapid.IntRange(50, 800).Draw(t, "steps"); step > 0; step-- {
			action := rapid.IntRange(0, 39).Draw(t, "action")
			m := pick()
			switch {
			case action < 6:
				for i := rapid.IntRange(1, 8).Draw(t, "ticks"); i > 0 && !m.down; i-- {
					m.node.Tick()
					c.work(m, false)
				}
			case action < 20 && len(c.network) > 0:
				c.deliver(message(), false)
			case action < 22 && len(c.network) > 0:
				c.deliver(message(), true)
			case action < 24 && len(c.network) > 0:
				i := message()
				c.network = append(c.network[:i], c.network[i+1:]...)
			case action < 28 && !m.down:
				c.propose(m)
			case action < 30 && !m.down:
				c.read(m)
			case action == 30:
				c.compact(m)
			case action == 31:
				c.work(m, true)
			case action == 32:
				m.down = true
			case action < 35:
				c.start(m)
			case action == 35 && !m.down:
				c.change(m, pick().id)
			case action == 36:
				c.round(nil)
			case action == 37:
				c.splitFor(rapid.IntRange(1, 20).Draw(t, "rounds"), rapid.IntRange(0, 127).Draw(t, "side"), pick().id)
			}
			if rapid.IntRange(0, 9).Draw(t, "work") > 0 {
				for _, m := range c.members {
					c.work(m, false)
				}
			}
		}
		c.heal()
	})
}

// splitFor cuts the members in two for some ticks, while whoever leads takes commands, reads and a change of members.
func (c *cluster) splitFor(rounds, side int, target string) {
	sides := map[string]int{}
	for i, m := range c.members {
		sides[m.id] = side >> i & 1
	}
	sameSide := func(message *apiv1.ReplicationMessage) bool { return sides[message.From] == sides[message.To] }
	for i := 0; i < rounds; i++ {
		for _, m := range c.members {
			if m.down {
				continue
			}
			c.propose(m)
			c.read(m)
			if i == rounds/2 {
				c.change(m, target)
			}
		}
		c.round(sameSide)
	}
}

// heal ends the faults and expects every member of the group to apply a new command.
func (c *cluster) heal() {
	for _, m := range c.members {
		if m.down {
			c.start(m)
		}
	}
	var target uint64
	for i := 0; i < healRounds; i++ {
		c.round(nil)
		leader := c.leader()
		if leader == nil {
			continue
		}
		if target == 0 || leader.node.LastIndex() < target {
			if index, _, err := leader.node.Propose([]byte("after")); err == nil {
				target = index
			}
			continue
		}
		if c.allApplied(leader, target) {
			return
		}
	}
	c.t.Fatalf("the group does not commit %d ticks after the faults ended:\n%s", healRounds, c.describe())
}

func (c *cluster) allApplied(leader *member, index uint64) bool {
	for _, want := range leader.node.Membership().Members {
		for _, m := range c.members {
			if m.id == want.Id && m.node.Applied() < index {
				return false
			}
		}
	}
	return true
}
