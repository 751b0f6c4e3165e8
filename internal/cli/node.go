package cli

import (
	"context"
	"flag"
	"strconv"

	"github.com/google/subcommands"

	apiv1 "samphireflow/api/v1"
)

func nodeCommands(s *session) *commandSet {
	return &commandSet{
		name: "node", synopsis: "ask one node what it has applied and how it would route a call", session: s,
		commands: []subcommands.Command{nodeAppliedCommand(s), nodeRouteCommand(s)},
	}
}

func nodeAppliedCommand(s *session) *command {
	var whole bool
	return &command{
		name: "applied", args: "ADDR [--whole]", synopsis: "show the configuration that the node at a control address has applied",
		minArgs: 1, maxArgs: 1, session: s,
		flags: func(flags *flag.FlagSet) { flags.BoolVar(&whole, "whole", false, "show the whole configuration") },
		run: func(ctx context.Context, s *session, args []string) error {
			return nodeApplied(ctx, s, args[0], whole)
		},
	}
}

func nodeApplied(ctx context.Context, s *session, address string, whole bool) error {
	response, err := callNode(ctx, s, address, func(ctx context.Context, to *endpoint) (*apiv1.AppliedResponse, error) {
		return to.inspect.Applied(ctx, &apiv1.AppliedRequest{Whole: whole})
	})
	if err != nil {
		return err
	}
	p := s.printer()
	if whole {
		return p.json(response, true)
	}
	return p.message(response, func() error {
		return p.table([]string{"INSTANCE", "APPLIED", "TERM", "DIGEST", "BEHIND MS", "REFUSED"}, [][]string{{
			response.Instance, strconv.FormatUint(response.Version, 10), strconv.FormatUint(response.Term, 10),
			strconv.FormatUint(response.Digest, 16), strconv.FormatUint(response.BehindMs, 10),
			refusalText(response.RefusedVersion, response.Refusal),
		}})
	})
}

// callNode sends a read to the node at a control address.
func callNode[T any](ctx context.Context, s *session, address string, try attempt[T]) (T, error) {
	if err := checkAddress(address); err != nil {
		var zero T
		return zero, usageError(err)
	}
	return readWithRetry(ctx, newClient([]string{address}, s.options.Timeout), try)
}

func nodeRouteCommand(s *session) *command {
	return &command{
		name: "route", args: "ADDR METHOD PATH", synopsis: "show where the node at a control address would send a call",
		minArgs: 3, maxArgs: 3, session: s,
		run: func(ctx context.Context, s *session, args []string) error {
			return nodeRoute(ctx, s, args[0], &apiv1.RouteCallRequest{Method: args[1], Path: args[2]})
		},
	}
}

func nodeRoute(ctx context.Context, s *session, address string, request *apiv1.RouteCallRequest) error {
	response, err := callNode(ctx, s, address, func(ctx context.Context, to *endpoint) (*apiv1.RouteCallResponse, error) {
		return to.inspect.RouteCall(ctx, request)
	})
	if err != nil {
		return err
	}
	p := s.printer()
	return p.message(response, func() error { return printRoute(p, response) })
}

func printRoute(p *printer, response *apiv1.RouteCallResponse) error {
	if err := p.line("route %q of service %q %s", response.Route, response.Service, response.Detail); err != nil {
		return err
	}
	var rows [][]string
	for _, candidate := range response.Candidates {
		server := candidate.Server
		rows = append(rows, []string{
			server.GetInstance(), server.GetVersion(), server.GetAddr(), serverStateText(server.GetState()),
			shareText(candidate.ShareBp), strconv.FormatBool(candidate.Ejected), strconv.FormatBool(candidate.Local),
		})
	}
	return p.table([]string{"BACKEND SERVER", "VERSION", "ADDRESS", "STATE", "SHARE", "EJECTED", "LOCAL"}, rows)
}
