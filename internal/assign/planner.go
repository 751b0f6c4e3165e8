// Package assign decides which nodes of a failure domain have a role that needs an agreed set: relays and claim
// holders. It is pure: the clock is passed in.
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
	// setSize is the number of nodes in a set where a failure domain has that many, and relaySetSize that of relays,
	// which share the load of all its nodes; sets are odd.
	setSize      = 3
	relaySetSize = 5
	// replaceAfter is the time for which a node of a set must be gone before another takes its place.
	replaceAfter = 30 * time.Second
	// settleTime is the time after a planner's start in which it founds no set, so that nodes can renew first.
	settleTime = 2 * time.Second
)

var roles = []apiv1.AssignmentRole{
	apiv1.AssignmentRole_ASSIGNMENT_ROLE_RELAY,
	apiv1.AssignmentRole_ASSIGNMENT_ROLE_CLAIM_HOLDER,
}

// Planner remembers when it last saw each node. It is owned by one goroutine, and used while its process leads.
type Planner struct {
	// RelayExcluded names the nodes that cannot be relays, because their control address serves the control role.
	RelayExcluded map[string]bool

	started time.Time
	seen    map[string]time.Time
}

// NewPlanner returns a planner that counts every node as seen at its start.
func NewPlanner(now time.Time) *Planner {
	return &Planner{started: now, seen: map[string]time.Time{}}
}

// Plan returns the next change of each set that wants one.
//
// A set is changed by one node at a time and only while a majority of it is live: when the majority is out of
// sight, the failure domain may be cut off with its set at work, and a change would split the set.
func (p *Planner) Plan(current []*apiv1.Assignment, live []*apiv1.NodeInfo, now time.Time) []*apiv1.Assignment {
	byDomain := map[string][]*apiv1.NodeInfo{}
	for _, node := range live {
		p.seen[node.Instance] = now
		byDomain[node.FailureDomain] = append(byDomain[node.FailureDomain], node)
	}
	if now.Sub(p.started) < settleTime {
		return nil
	}
	homes := homeDomains(current, slices.Sorted(maps.Keys(byDomain)))
	var changes []*apiv1.Assignment
	for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
		for _, role := range roles {
			change := p.planSet(find(current, domain, role), byDomain[domain], domain, role, now)
			if change == nil {
				continue
			}
			change.HomeDomains = homes
			changes = append(changes, change)
		}
	}
	return changes
}

// homeDomains returns the list that the first sets were founded with, or the live failure domains before that.
func homeDomains(current []*apiv1.Assignment, live []string) []string {
	for _, assignment := range current {
		if len(assignment.HomeDomains) > 0 {
			return assignment.HomeDomains
		}
	}
	return live
}

func (p *Planner) planSet(current *apiv1.Assignment, live []*apiv1.NodeInfo, domain string, role apiv1.AssignmentRole, now time.Time) *apiv1.Assignment {
	if role == apiv1.AssignmentRole_ASSIGNMENT_ROLE_RELAY {
		live = p.fitForRelay(live)
	}
	ranked := rank(live, domain, role)
	if current == nil {
		return found(ranked, domain, role)
	}
	liveByName := map[string]*apiv1.NodeInfo{}
	for _, node := range live {
		liveByName[node.Instance] = node
	}
	if !majorityLive(current, liveByName) || !settled(current, live) {
		return nil
	}
	next := proto.Clone(current).(*apiv1.Assignment)
	next.Epoch++
	switch {
	case moveAddress(next, liveByName):
		return next
	case len(current.Nodes) < wantedSize(len(live), role):
		return p.grow(next, ranked)
	}
	return p.replaceGone(next, ranked, liveByName, now)
}

// found makes the first set of a failure domain.
func found(ranked []*apiv1.NodeInfo, domain string, role apiv1.AssignmentRole) *apiv1.Assignment {
	if len(ranked) == 0 {
		return nil
	}
	first := &apiv1.Assignment{FailureDomain: domain, Role: role, Epoch: 1}
	for _, node := range ranked[:wantedSize(len(ranked), role)] {
		first.Nodes = append(first.Nodes, assigned(node, first.Epoch))
	}
	return first
}

// moveAddress takes over the address of a node that came back under another one.
func moveAddress(next *apiv1.Assignment, live map[string]*apiv1.NodeInfo) bool {
	for _, node := range next.Nodes {
		if now := live[node.Instance]; now != nil && now.ControlAddr != node.ControlAddr {
			node.ControlAddr = now.ControlAddr
			return true
		}
	}
	return false
}

func (p *Planner) grow(next *apiv1.Assignment, ranked []*apiv1.NodeInfo) *apiv1.Assignment {
	if node := firstOutside(next, ranked); node != nil {
		next.Nodes = append(next.Nodes, assigned(node, next.Epoch))
		return next
	}
	return nil
}

func (p *Planner) replaceGone(next *apiv1.Assignment, ranked []*apiv1.NodeInfo, live map[string]*apiv1.NodeInfo, now time.Time) *apiv1.Assignment {
	for i, node := range next.Nodes {
		if live[node.Instance] != nil || now.Sub(p.lastSeen(node.Instance)) < replaceAfter {
			continue
		}
		substitute := firstOutside(next, ranked)
		if substitute == nil {
			return nil
		}
		next.Nodes[i] = assigned(substitute, next.Epoch)
		return next
	}
	return nil
}

func (p *Planner) lastSeen(instance string) time.Time {
	if seen, ok := p.seen[instance]; ok {
		return seen
	}
	return p.started
}

func assigned(node *apiv1.NodeInfo, epoch uint64) *apiv1.AssignedNode {
	return &apiv1.AssignedNode{
		Instance:    node.Instance,
		ControlAddr: node.ControlAddr,
		Incarnation: node.Incarnation,
		SinceEpoch:  epoch,
	}
}

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

func (p *Planner) fitForRelay(live []*apiv1.NodeInfo) []*apiv1.NodeInfo {
	var fit []*apiv1.NodeInfo
	for _, node := range live {
		if !p.RelayExcluded[node.Instance] {
			fit = append(fit, node)
		}
	}
	return fit
}

// settled reports whether a set of relays has handed down the version that names it, which a node's having applied
// it shows. Until then quorums of the set before are still counted, and the set must not change again.
func settled(set *apiv1.Assignment, live []*apiv1.NodeInfo) bool {
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

// wantedSize is the largest odd number up to the size of the role's set that a failure domain of n nodes can fill.
func wantedSize(n int, role apiv1.AssignmentRole) int {
	size := min(n, setSize)
	if role == apiv1.AssignmentRole_ASSIGNMENT_ROLE_RELAY {
		size = min(n, relaySetSize)
	}
	if size%2 == 0 {
		size--
	}
	return max(size, 0)
}

// rank orders nodes by rendezvous hashing (Thaler and Ravishankar, 1998), so that a set moves little as nodes come
// and go.
func rank(nodes []*apiv1.NodeInfo, domain string, role apiv1.AssignmentRole) []*apiv1.NodeInfo {
	score := func(node *apiv1.NodeInfo) uint64 {
		return xxhash.Sum64String(domain + "/" + role.String() + "/" + node.Instance)
	}
	ranked := append([]*apiv1.NodeInfo(nil), nodes...)
	sort.Slice(ranked, func(i, j int) bool { return score(ranked[i]) < score(ranked[j]) })
	return ranked
}

func find(list []*apiv1.Assignment, domain string, role apiv1.AssignmentRole) *apiv1.Assignment {
	for _, assignment := range list {
		if assignment.FailureDomain == domain && assignment.Role == role {
			return assignment
		}
	}
	return nil
}
