// Package assign decides which nodes of each failure domain are relays and which are claim holders. All processes must
// agree on these sets of nodes, so the leader of the control group plans their changes and the replicated state records
// them. The package does no I/O and reads no clock: the current time is an argument.
package assign

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
)

const (
	// setSize is the number of nodes in a full set, and relaySetSize that in a full set of relays, which share the load
	// of all nodes of the failure domain. Both are odd.
	setSize      = 3
	relaySetSize = 5
	// replaceAfter is the time for which a node of a set must be gone before another one replaces it.
	replaceAfter = 30 * time.Second
	// initialDelay is the time for which a new planner plans no changes, so that nodes can renew their leases first.
	initialDelay = 2 * time.Second
)

var roles = []apiv1.AssignmentRole{
	apiv1.AssignmentRole_ASSIGNMENT_ROLE_RELAY,
	apiv1.AssignmentRole_ASSIGNMENT_ROLE_CLAIM_HOLDER,
}

// Planner plans changes of the sets and tracks when each node was last live. It is not safe for concurrent use. The
// leader of the control group creates one and discards it when it no longer leads.
type Planner struct {
	// RelayExcluded holds the nodes that cannot be relays because their control address serves the control role.
	RelayExcluded map[string]bool

	started time.Time
	// seen holds the time at which each node was last live.
	seen map[string]time.Time
}

// NewPlanner returns a planner that assumes that every node was live at its start.
func NewPlanner(now time.Time) *Planner {
	return &Planner{started: now, seen: map[string]time.Time{}}
}

// Plan returns the next change of each set that needs one.
//
// A set changes by one node at a time and only while a majority of its nodes is live. Without a live majority, the
// failure domain may be partitioned from this process while its set keeps working, and a change would split the set.
func (p *Planner) Plan(current []*apiv1.Assignment, live []*apiv1.NodeInfo, now time.Time) []*apiv1.Assignment {
	byDomain := map[string][]*apiv1.NodeInfo{}
	for _, node := range live {
		p.seen[node.Instance] = now
		byDomain[node.FailureDomain] = append(byDomain[node.FailureDomain], node)
	}
	if now.Sub(p.started) < initialDelay {
		return nil
	}
	homes := homeDomains(current, slices.Sorted(maps.Keys(byDomain)))
	var changes []*apiv1.Assignment
	for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
		for _, role := range roles {
			change := p.planSet(findSet(current, domain, role), byDomain[domain], domain, role, now)
			if change == nil {
				continue
			}
			change.HomeDomains = homes
			changes = append(changes, change)
		}
	}
	return changes
}

// homeDomains returns the list that was fixed with the first sets, or the live failure domains before there are sets.
func homeDomains(current []*apiv1.Assignment, live []string) []string {
	for _, assignment := range current {
		if len(assignment.HomeDomains) > 0 {
			return assignment.HomeDomains
		}
	}
	return live
}

// planSet returns the next version of one set, or nil if it needs no change or cannot change now.
func (p *Planner) planSet(current *apiv1.Assignment, live []*apiv1.NodeInfo, domain string, role apiv1.AssignmentRole, now time.Time) *apiv1.Assignment {
	if role == apiv1.AssignmentRole_ASSIGNMENT_ROLE_RELAY {
		live = p.relayCandidates(live)
	}
	ranked := rank(live, domain, role)
	if current == nil {
		return firstSet(ranked, domain, role)
	}
	liveByName := map[string]*apiv1.NodeInfo{}
	for _, node := range live {
		liveByName[node.Instance] = node
	}
	if !majorityLive(current, liveByName) || !changeApplied(current, live) {
		return nil
	}
	next := proto.Clone(current).(*apiv1.Assignment)
	next.Epoch++
	switch {
	case updateAddress(next, liveByName):
		return next
	case len(current.Nodes) < targetSize(len(live), role):
		return p.addNode(next, ranked)
	}
	return p.replaceGone(next, ranked, liveByName, now)
}

// firstSet returns the first set of a failure domain for a role, or nil if there is no node for it.
func firstSet(ranked []*apiv1.NodeInfo, domain string, role apiv1.AssignmentRole) *apiv1.Assignment {
	if len(ranked) == 0 {
		return nil
	}
	first := &apiv1.Assignment{FailureDomain: domain, Role: role, Epoch: 1}
	for _, node := range ranked[:targetSize(len(ranked), role)] {
		first.Nodes = append(first.Nodes, newAssignedNode(node, first.Epoch))
	}
	return first
}

// updateAddress updates the address of one node that is live at another address. It reports whether there was one.
func updateAddress(next *apiv1.Assignment, live map[string]*apiv1.NodeInfo) bool {
	for _, node := range next.Nodes {
		if current := live[node.Instance]; current != nil && current.ControlAddr != node.ControlAddr {
			node.ControlAddr = current.ControlAddr
			return true
		}
	}
	return false
}

// addNode adds the highest ranked node that is not in the set.
func (p *Planner) addNode(next *apiv1.Assignment, ranked []*apiv1.NodeInfo) *apiv1.Assignment {
	if node := firstOutside(next, ranked); node != nil {
		next.Nodes = append(next.Nodes, newAssignedNode(node, next.Epoch))
		return next
	}
	return nil
}

// replaceGone replaces the first node that has been gone for replaceAfter.
func (p *Planner) replaceGone(next *apiv1.Assignment, ranked []*apiv1.NodeInfo, live map[string]*apiv1.NodeInfo, now time.Time) *apiv1.Assignment {
	for i, node := range next.Nodes {
		if live[node.Instance] != nil || now.Sub(p.lastSeen(node.Instance)) < replaceAfter {
			continue
		}
		substitute := firstOutside(next, ranked)
		if substitute == nil {
			return nil
		}
		next.Nodes[i] = newAssignedNode(substitute, next.Epoch)
		return next
	}
	return nil
}

// lastSeen returns the time at which a node was last live, or the planner's start.
func (p *Planner) lastSeen(instance string) time.Time {
	if seen, ok := p.seen[instance]; ok {
		return seen
	}
	return p.started
}

func newAssignedNode(node *apiv1.NodeInfo, epoch uint64) *apiv1.AssignedNode {
	return &apiv1.AssignedNode{
		Instance:    node.Instance,
		ControlAddr: node.ControlAddr,
		Incarnation: node.Incarnation,
		SinceEpoch:  epoch,
	}
}

// firstOutside returns the highest ranked node that is not in the set.
func firstOutside(set *apiv1.Assignment, ranked []*apiv1.NodeInfo) *apiv1.NodeInfo {
	for _, node := range ranked {
		if !contains(set, node.Instance) {
			return node
		}
	}
	return nil
}

func contains(set *apiv1.Assignment, instance string) bool {
	for _, node := range set.Nodes {
		if node.Instance == instance {
			return true
		}
	}
	return false
}

func majorityLive(set *apiv1.Assignment, live map[string]*apiv1.NodeInfo) bool {
	count := 0
	for _, node := range set.Nodes {
		if live[node.Instance] != nil {
			count++
		}
	}
	return count > len(set.Nodes)/2
}

func (p *Planner) relayCandidates(live []*apiv1.NodeInfo) []*apiv1.NodeInfo {
	var candidates []*apiv1.NodeInfo
	for _, node := range live {
		if !p.RelayExcluded[node.Instance] {
			candidates = append(candidates, node)
		}
	}
	return candidates
}

// changeApplied reports whether the last change of a set of relays has taken effect: some live node has applied the
// configuration version that contains it. Until then, quorums of the previous set still count, and the set must not
// change again. Other sets need not wait.
func changeApplied(set *apiv1.Assignment, live []*apiv1.NodeInfo) bool {
	if set.Role != apiv1.AssignmentRole_ASSIGNMENT_ROLE_RELAY {
		return true
	}
	for _, node := range live {
		if node.AppliedVersion >= set.Version {
			return true
		}
	}
	return false
}

// targetSize returns the size of a set for n available nodes: the largest odd number that exceeds neither n nor the
// size of a full set of the role.
func targetSize(n int, role apiv1.AssignmentRole) int {
	size := min(n, setSize)
	if role == apiv1.AssignmentRole_ASSIGNMENT_ROLE_RELAY {
		size = min(n, relaySetSize)
	}
	if size%2 == 0 {
		size--
	}
	return max(size, 0)
}

// rank orders nodes by rendezvous hashing (Thaler and Ravishankar, 1998), so that few nodes of a set change as nodes
// come and go.
func rank(nodes []*apiv1.NodeInfo, domain string, role apiv1.AssignmentRole) []*apiv1.NodeInfo {
	score := func(node *apiv1.NodeInfo) uint64 {
		return xxhash.Sum64String(domain + "/" + role.String() + "/" + node.Instance)
	}
	ranked := append([]*apiv1.NodeInfo(nil), nodes...)
	sort.Slice(ranked, func(i, j int) bool { return score(ranked[i]) < score(ranked[j]) })
	return ranked
}

func findSet(list []*apiv1.Assignment, domain string, role apiv1.AssignmentRole) *apiv1.Assignment {
	for _, assignment := range list {
		if assignment.FailureDomain == domain && assignment.Role == role {
			return assignment
		}
	}
	return nil
}
