package replica

import (
	"context"

	apiv1 "samphireflow/api/v1"
)

// maxBatchBytes is the size of entries and snapshot chunks from which on no more messages are added to a call.
const maxBatchBytes = 1 << 20

// peer sends queued messages to one address, one call at a time.
type peer struct {
	transport *TwirpTransport
	addr      string
	service   apiv1.Replication
	queue     chan *apiv1.ReplicationMessage
	failing   bool
}

func newPeer(t *TwirpTransport, addr string) *peer {
	return &peer{
		transport: t,
		addr:      addr,
		service:   apiv1.NewReplicationProtobufClient("http://"+addr, t.client),
		queue:     make(chan *apiv1.ReplicationMessage, peerQueueLength),
	}
}

// enqueue queues messages and drops those that do not fit.
func (p *peer) enqueue(messages []*apiv1.ReplicationMessage) {
	for _, message := range messages {
		select {
		case p.queue <- message:
		default:
			return
		}
	}
}

func (p *peer) run() {
	defer p.transport.group.Done()
	for {
		select {
		case <-p.transport.ctx.Done():
			return
		case message := <-p.queue:
			p.sendBatch(p.collectBatch(message))
		}
	}
}

// collectBatch returns the first message and those that are queued behind it, up to maxBatchBytes.
func (p *peer) collectBatch(first *apiv1.ReplicationMessage) []*apiv1.ReplicationMessage {
	batch := []*apiv1.ReplicationMessage{first}
	size := messageBytes(first)
	for size < maxBatchBytes {
		select {
		case message := <-p.queue:
			batch = append(batch, message)
			size += messageBytes(message)
		default:
			return batch
		}
	}
	return batch
}

func messageBytes(message *apiv1.ReplicationMessage) int {
	size := len(message.GetChunk().GetData())
	for _, entry := range message.Entries {
		size += len(entry.Data)
	}
	return size
}

// sendBatch sends messages in one call. A failed call is not retried, because the Raft node repeats what was lost.
func (p *peer) sendBatch(batch []*apiv1.ReplicationMessage) {
	options := &p.transport.options
	ctx, cancel := context.WithTimeout(p.transport.ctx, options.Timeout)
	defer cancel()
	request := &apiv1.StepRequest{ClusterId: options.ClusterID, FromAddr: options.OwnAddr, Messages: batch}
	_, err := p.service.Step(ctx, request)
	if failing := err != nil; failing != p.failing {
		p.failing = failing
		options.Logger.Info().Str("peer", p.addr).Bool("reachable", !failing).AnErr("cause", err).Msg("control peer changed")
	}
}
