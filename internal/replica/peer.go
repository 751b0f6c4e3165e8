package replica

import (
	"context"

	apiv1 "samphireflow/api/v1"
)

// maxBatchBytes bounds the size of the entries and snapshot pieces in one call.
const maxBatchBytes = 1 << 20

// peer is the sending side to one address.
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
			p.step(p.batch(message))
		}
	}
}

// batch adds what else is queued to a first message.
func (p *peer) batch(first *apiv1.ReplicationMessage) []*apiv1.ReplicationMessage {
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

func (p *peer) step(batch []*apiv1.ReplicationMessage) {
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
