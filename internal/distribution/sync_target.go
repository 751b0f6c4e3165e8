package distribution

import (
	"context"
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/member"
)

// syncTarget is another process that this one tells its leases. It belongs to one goroutine.
type syncTarget struct {
	client *Client
	// relay is set for another relay, and not set for a control instance.
	relay bool
	// sent is the sync number up to which the target has the leases at home here; full asks to send all again.
	sent uint64
	full bool
	// source and seq are the position up to which this process has the target's leases.
	source string
	seq    uint64
}

// exchange sends a word together with the leases that the target lacks, and takes in those that it answers with.
func (t *syncTarget) exchange(ctx context.Context, request *apiv1.SyncRequest, hub *member.Hub) (*apiv1.SyncResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if request.WantMembers {
		request.MembersSource, request.MembersSeq = t.source, t.seq
	}
	changes := t.lacking(hub, request.Instance)
	request.Nodes, request.Servers, request.Full = changes.Nodes, changes.Servers, changes.Full
	digest := hub.HomeDigest(request.Instance)
	response, err := t.client.Relay.Sync(ctx, request)
	if err != nil {
		return nil, err
	}
	t.settle(changes.Seq, response.HomeDigest == digest)
	if response.MembersSource != "" {
		t.source, t.seq = response.MembersSource, response.MembersSeq
		hub.Merge("", response.Nodes, response.Servers, time.Now())
		if response.MembersFull {
			hub.Reconcile(response.Servers, time.Now())
		}
	}
	return response, nil
}

func (t *syncTarget) lacking(hub *member.Hub, home string) member.Changes {
	if t.full {
		return hub.Changes(0, home)
	}
	return hub.Changes(t.sent, home)
}

// settle notes that the target took in all up to a number. All is sent again when its idea of the leases differs
// although nothing changed meanwhile.
func (t *syncTarget) settle(upTo uint64, agreed bool) {
	t.full = !agreed && t.sent == upTo
	t.sent = upTo
}
