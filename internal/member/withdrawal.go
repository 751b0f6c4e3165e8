package member

import (
	"time"

	apiv1 "samphireflow/api/v1"
)

// withdrawalRetention is the time for which a withdrawal is kept. Heartbeats arrive late by seconds.
const withdrawalRetention = time.Minute

// NewWithdrawal returns the record that a backend server beside a node has announced by its name alone that it stops: all its
// starts until now leave. The node may have heard of none of them, so the record has no incarnation.
func NewWithdrawal(instance, node string, now time.Time) *apiv1.BackendServer {
	return &apiv1.BackendServer{
		Instance: instance, Node: node, StartedUnixMs: now.UnixMilli(), Leaving: true, State: apiv1.ServerState_SERVER_STATE_GONE,
	}
}

// IsWithdrawal reports whether a record is a withdrawal. An announced backend server has an address.
func IsWithdrawal(server *apiv1.BackendServer) bool {
	return server.Leaving && server.Incarnation == 0 && server.Addr == ""
}

// withdrawalKey identifies the backend server of a withdrawal. Only the node beside it can withdraw it.
type withdrawalKey struct{ instance, node string }

func withdrawalKeyOf(server *apiv1.BackendServer) withdrawalKey {
	return withdrawalKey{server.Instance, server.Node}
}

type withdrawal struct {
	record *apiv1.BackendServer
	// syncSeq is the sync sequence number of its last change.
	syncSeq uint64
	expires time.Time
	// handedOn is set if this process hands the withdrawal on to all others, whichever process has sent it.
	handedOn bool
}

// withdrawalSet holds the newest withdrawal of each backend server.
type withdrawalSet map[withdrawalKey]withdrawal

// covers reports whether the start of a backend server has been withdrawn.
func (s withdrawalSet) covers(server *apiv1.BackendServer, now time.Time) bool {
	known, ok := s[withdrawalKeyOf(server)]
	return ok && now.Before(known.expires) && server.StartedUnixMs <= known.record.StartedUnixMs
}

// has reports whether the set holds this withdrawal or a newer one.
func (s withdrawalSet) has(record *apiv1.BackendServer) bool {
	known, ok := s[withdrawalKeyOf(record)]
	return ok && record.StartedUnixMs <= known.record.StartedUnixMs
}

// add stores a withdrawal if it is newer than the known one. It reports whether it did.
func (s withdrawalSet) add(record *apiv1.BackendServer, handedOn bool, syncSeq uint64, now time.Time) bool {
	if s.has(record) {
		return false
	}
	key := withdrawalKeyOf(record)
	known := s[key]
	s[key] = withdrawal{record: record, syncSeq: syncSeq, expires: now.Add(withdrawalRetention), handedOn: handedOn || known.handedOn}
	return true
}

// purge removes the withdrawals that have expired. Other tables remove them by themselves.
func (s withdrawalSet) purge(now time.Time) {
	for key, known := range s {
		if !now.Before(known.expires) {
			delete(s, key)
		}
	}
}

// changed lists the wanted withdrawals that changed after a sync sequence number.
func (s withdrawalSet) changed(since uint64, wanted func(withdrawal) bool) []*apiv1.BackendServer {
	var list []*apiv1.BackendServer
	for _, known := range s {
		if known.syncSeq > since && wanted(known) {
			list = append(list, known.record)
		}
	}
	return list
}
