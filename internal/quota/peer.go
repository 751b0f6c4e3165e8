package quota

import (
	"context"
	"net/http"

	apiv1 "samphireflow/api/v1"
)

// Peer sends messages to other nodes.
type Peer interface {
	Ask(ctx context.Context, addr string, request *apiv1.QuotaAskRequest) (*apiv1.QuotaAskResponse, error)
	Transfer(ctx context.Context, addr string, request *apiv1.QuotaTransferRequest) (*apiv1.QuotaTransferResponse, error)
}

// HTTPPeer returns a peer that calls the control addresses of other nodes.
func HTTPPeer(client *http.Client) Peer {
	return httpPeer{client}
}

type httpPeer struct {
	client *http.Client
}

func (p httpPeer) Ask(ctx context.Context, addr string, request *apiv1.QuotaAskRequest) (*apiv1.QuotaAskResponse, error) {
	return apiv1.NewQuotasProtobufClient("http://"+addr, p.client).Ask(ctx, request)
}

func (p httpPeer) Transfer(ctx context.Context, addr string, request *apiv1.QuotaTransferRequest) (*apiv1.QuotaTransferResponse, error) {
	return apiv1.NewQuotasProtobufClient("http://"+addr, p.client).Transfer(ctx, request)
}
