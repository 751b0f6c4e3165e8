package cli

import (
	"net/http"

	apiv1 "samphireflow/api/v1"
)

// endpoint holds the clients for the services on the control address of one instance.
type endpoint struct {
	address        string
	config         apiv1.Config
	moves          apiv1.Moves
	evacuations    apiv1.Evacuations
	members        apiv1.Membership
	status         apiv1.Status
	inspect        apiv1.Inspect
	controlMembers apiv1.ControlMembers
}

func newEndpoint(address string, client *http.Client) *endpoint {
	base := "http://" + address
	return &endpoint{
		address: address,
		config:  apiv1.NewConfigProtobufClient(base, client),
		moves:   apiv1.NewMovesProtobufClient(base, client),
		members: apiv1.NewMembershipProtobufClient(base, client),
		status:  apiv1.NewStatusProtobufClient(base, client),
		inspect: apiv1.NewInspectProtobufClient(base, client),

		evacuations:    apiv1.NewEvacuationsProtobufClient(base, client),
		controlMembers: apiv1.NewControlMembersProtobufClient(base, client),
	}
}
