package distribution

import (
	"context"
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/member"
)

// syncTarget is another process with which this one syncs leases. It is not safe for concurrent use.
type syncTarget struct {
	client *Client
	// relay is set for a relay, and not set for a control instance.
	relay bool
	// sentSeq is the sync sequence number up to which the target has the leases that are renewed here. With resendAll, the
	// next exchange sends all of them.
	sentSeq   uint64
	resendAll bool
	// receivedSource and receivedSeq are the position up to which this process has the target's leases.
	receivedSource string
	receivedSeq    uint64
}

// exchange sends a request with the leases that the target does not have yet, and merges the leases of the response into
// the hub.
func (t *syncTarget) exchange(ctx context.Context, request *apiv1.SyncRequest, hub *member.Hub) (*apiv1.SyncResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if request.WantMembers {
		request.MembersSource, request.MembersSeq = t.receivedSource, t.receivedSeq
	}
	changes := t.unsentChanges(hub, request.Instance)
	request.Nodes, request.Servers, request.Full = changes.Nodes, changes.Servers, changes.Full
	digest := hub.HomeDigest(request.Instance)
	response, err := t.client.Relay.Sync(ctx, request)
	if err != nil {
		return nil, err
	}
	t.recordSent(changes.Seq, response.HomeDigest == digest)
	if response.MembersSource != "" {
		t.receivedSource, t.receivedSeq = response.MembersSource, response.MembersSeq
		hub.Merge("", response.Nodes, response.Servers, time.Now())
		if response.MembersFull {
			hub.Reconcile(response.Servers, time.Now())
		}
	}
	return response, nil
}

// unsentChanges returns the changes to send of the leases that are renewed at home, the instance of this process: those
// that the target does not have yet, or all of them with resendAll.
func (t *syncTarget) unsentChanges(hub *member.Hub, home string) member.Changes {
	if t.resendAll {
		return hub.ChangesAt(home, 0)
	}
	return hub.ChangesAt(home, t.sentSeq)
}

// recordSent records that the target has received all changes up to a sequence number. All leases are sent again when the
// digests differ although nothing changed since the last exchange.
func (t *syncTarget) recordSent(seq uint64, digestsMatch bool) {
	t.resendAll = !digestsMatch && t.sentSeq == seq
	t.sentSeq = seq
}
