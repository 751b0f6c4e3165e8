package raft

import (
	"testing"

	"pgregory.net/rapid"

	apiv1 "samphireflow/api/v1"
)

// recoveryTicks is the number of ticks within which the group must commit a command after the faults end.
const recoveryTicks = 400

// TestSafetyAndRecoveryUnderFaults runs a group with reordered, dropped and duplicated messages, partitions, crashes that
// lose unpersisted state, snapshots, reads and membership changes. It checks at every step that each term has one leader,
// that all members apply the same states and that no read is stale. After the faults end, the group must commit again.
func TestSafetyAndRecoveryUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		cfg := Config{ElectionTicks: 4, HeartbeatTicks: 1, MaxInflight: 3, SnapshotChunkBytes: 3, RetainedEntries: 1}
		c := newCluster(t, seed, rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "voters"), 2, cfg)
		randomMember := func() *member { return c.members[rapid.IntRange(0, len(c.members)-1).Draw(t, "member")] }
		randomMessage := func() int { return rapid.IntRange(0, len(c.network)-1).Draw(t, "message") }
		for step := rapid.IntRange(50, 800).Draw(t, "steps"); step > 0; step-- {
			action := rapid.IntRange(0, 39).Draw(t, "action")
			m := randomMember()
			switch {
			case action < 6:
				for i := rapid.IntRange(1, 8).Draw(t, "ticks"); i > 0 && !m.down; i-- {
					m.node.Tick()
					c.processReady(m, false)
				}
			case action < 20 && len(c.network) > 0:
				c.deliver(randomMessage(), false)
			case action < 22 && len(c.network) > 0:
				c.deliver(randomMessage(), true)
			case action < 24 && len(c.network) > 0:
				i := randomMessage()
				c.network = append(c.network[:i], c.network[i+1:]...)
			case action < 28 && !m.down:
				c.propose(m)
			case action < 30 && !m.down:
				c.read(m)
			case action == 30:
				c.compact(m)
			case action == 31:
				c.processReady(m, true)
			case action == 32:
				m.down = true
			case action < 35:
				c.start(m)
			case action == 35 && !m.down:
				c.proposeMembershipChange(m, randomMember().id)
			case action == 36:
				c.tickAndDeliver(nil)
			case action == 37:
				c.partitionFor(rapid.IntRange(1, 20).Draw(t, "rounds"), rapid.IntRange(0, 127).Draw(t, "side"), randomMember().id)
			}
			if rapid.IntRange(0, 9).Draw(t, "work") > 0 {
				for _, m := range c.members {
					c.processReady(m, false)
				}
			}
		}
		c.requireRecovery()
	})
}

// partitionFor splits the members into two partitions for some ticks. Meanwhile it proposes commands, reads and a membership
// change on every running member.
func (c *cluster) partitionFor(ticks, side int, target string) {
	sides := map[string]int{}
	for i, m := range c.members {
		sides[m.id] = side >> i & 1
	}
	sameSide := func(message *apiv1.ReplicationMessage) bool { return sides[message.From] == sides[message.To] }
	for i := 0; i < ticks; i++ {
		for _, m := range c.members {
			if m.down {
				continue
			}
			c.propose(m)
			c.read(m)
			if i == ticks/2 {
				c.proposeMembershipChange(m, target)
			}
		}
		c.tickAndDeliver(sameSide)
	}
}

// requireRecovery restarts the members that are down and fails the test unless all members of the group apply a new command.
func (c *cluster) requireRecovery() {
	for _, m := range c.members {
		if m.down {
			c.start(m)
		}
	}
	var target uint64
	for i := 0; i < recoveryTicks; i++ {
		c.tickAndDeliver(nil)
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
	c.t.Fatalf("the group did not commit a command within %d ticks after the faults ended:\n%s", recoveryTicks, c.dump())
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
