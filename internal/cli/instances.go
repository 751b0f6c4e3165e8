package cli

import (
	"context"
	"strconv"
	"strings"

	apiv1 "samphireflow/api/v1"
)

func instancesCommand(s *session) *command {
	return &command{
		name: "instances", synopsis: "list the nodes and the backend servers beside them", session: s,
		run: func(ctx context.Context, s *session, _ []string) error { return instances(ctx, s) },
	}
}

func instances(ctx context.Context, s *session) error {
	c, err := s.client()
	if err != nil {
		return err
	}
	response, err := fetchMembers(ctx, c)
	if err != nil {
		return err
	}
	p := s.printer()
	return p.message(response, func() error {
		if err := printNodes(p, response.Nodes); err != nil {
			return err
		}
		if err := p.line(""); err != nil {
			return err
		}
		return printServers(p, response.Servers)
	})
}

func fetchMembers(ctx context.Context, c *client) (*apiv1.ListMembersResponse, error) {
	return readWithRetry(ctx, c, func(ctx context.Context, to *endpoint) (*apiv1.ListMembersResponse, error) {
		return to.members.List(ctx, &apiv1.ListMembersRequest{})
	})
}

func printNodes(p *printer, nodes []*apiv1.NodeInfo) error {
	var rows [][]string
	for _, node := range nodes {
		rows = append(rows, []string{
			node.Instance, node.FailureDomain, node.ControlAddr, node.CallerAddr,
			strconv.FormatUint(node.AppliedVersion, 10), refusalText(node.RefusedVersion, node.Refusal), timeText(node.LastRenewedUnixMs),
		})
	}
	return p.table([]string{"NODE", "FAILURE DOMAIN", "CONTROL", "CALLERS", "APPLIED", "REFUSED", "RENEWED"}, rows)
}

// refusalText describes a refused configuration version. It returns "-" for version 0.
func refusalText(version uint64, reason string) string {
	if version == 0 {
		return "-"
	}
	return strconv.FormatUint(version, 10) + ": " + reason
}

func printServers(p *printer, servers []*apiv1.BackendServer) error {
	var rows [][]string
	for _, server := range servers {
		rows = append(rows, []string{
			server.Instance, server.FailureDomain, server.Service, server.Version, server.Addr, serverStateText(server.State),
			strconv.FormatUint(uint64(server.InFlight), 10), strconv.FormatUint(uint64(server.Slots), 10), server.Node,
		})
	}
	return p.table([]string{"BACKEND SERVER", "FAILURE DOMAIN", "SERVICE", "VERSION", "ADDRESS", "STATE", "IN FLIGHT", "SLOTS", "NODE"}, rows)
}

func serverStateText(state apiv1.ServerState) string {
	return strings.ToLower(strings.TrimPrefix(state.String(), "SERVER_STATE_"))
}
