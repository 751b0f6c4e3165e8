package claim

import (
	"time"

	apiv1 "samphireflow/api/v1"
)

// foundingEpoch is the epoch in which a set is created; there are no earlier claims that its holders could lack.
const foundingEpoch = 1

// Membership tracks whether a node is in the set of claim holders of its failure domain, and whether it is synced, which
// means that it knows the claims and may vote. It does no I/O and reads no clock. It is not safe for concurrent use; its
// owner guards it with a lock.
//
// Invariant: the synced holders that lack a claim which had a majority are always fewer than a majority. So every
// majority of synced holders includes one that knows the claim.
type Membership struct {
	instance    string
	incarnation uint64
	started     time.Time

	set    *apiv1.Assignment
	member bool
	synced bool
	// sinceEpoch is the epoch at which the node joined the set; 0 while it is not in the set.
	sinceEpoch uint64
	// unsyncedSince is the time at which the node was found to lack earlier claims.
	unsyncedSince time.Time
}

// NewMembership returns the membership of a process that has just started and has no claims in memory.
func NewMembership(instance string, incarnation uint64, started time.Time) *Membership {
	return &Membership{instance: instance, incarnation: incarnation, started: started}
}

// Update applies the set of holders of a configuration version. Sets of the same or an earlier epoch are ignored.
func (m *Membership) Update(set *apiv1.Assignment, now time.Time) {
	if set == nil || set.Epoch <= m.set.GetEpoch() {
		return
	}
	m.set = set
	own := m.find(set)
	m.member = own != nil
	if own == nil {
		m.synced = false
		m.sinceEpoch = 0
		return
	}
	if own.SinceEpoch != m.sinceEpoch {
		m.sinceEpoch = own.SinceEpoch
		m.synced = own.SinceEpoch == foundingEpoch && own.Incarnation == m.incarnation
		m.unsyncedSince = now
	}
}

func (m *Membership) find(set *apiv1.Assignment) *apiv1.AssignedNode {
	for _, node := range set.Nodes {
		if node.Instance == m.instance {
			return node
		}
	}
	return nil
}

// Check reports whether the node votes in an epoch of the set of a failure domain. If not, the status says why.
func (m *Membership) Check(domain string, epoch uint64) (apiv1.ClaimStatus, bool) {
	if !m.member || m.set.FailureDomain != domain || m.set.Epoch != epoch {
		return apiv1.ClaimStatus_CLAIM_STATUS_WRONG_EPOCH, false
	}
	if !m.synced {
		return apiv1.ClaimStatus_CLAIM_STATUS_ABSTAINS, false
	}
	return apiv1.ClaimStatus_CLAIM_STATUS_GRANTED, true
}

// SyncByExpiry marks the node as synced once all claims that it may lack have expired. Retention is the longest retention
// of any route.
func (m *Membership) SyncByExpiry(retention time.Duration, now time.Time) {
	if m.member && !m.synced && now.Sub(m.unsyncedSince) >= retention+2*MaxCallDuration {
		m.synced = true
	}
}

// SetToSync returns the set whose holders the node must read claims from. It is nil while the node is synced or not in
// the set. It is also nil until twice VoteWindow after the start, because attempts may still count grants from before a
// restart.
func (m *Membership) SetToSync(now time.Time) *apiv1.Assignment {
	if !m.member || m.synced || now.Sub(m.started) < 2*VoteWindow {
		return nil
	}
	return m.set
}

// CompleteSync marks the node as synced if it has read the claims of enough other synced holders of an epoch. It reports
// whether it did.
func (m *Membership) CompleteSync(epoch uint64, others int) bool {
	if !m.member || m.set.Epoch != epoch || others < syncQuorum(len(m.set.Nodes)) {
		return false
	}
	m.synced = true
	return true
}
