package cli

import (
	"context"
	"flag"
	"strconv"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
)

func evacuationCommands(s *session) *commandSet {
	return &commandSet{
		name: "evacuation", synopsis: "keep all calls away from the backend servers of a failure domain", session: s,
		commands: []subcommands.Command{
			evacuationOrderCommand(s, "give", "send no more calls to the backend servers of a failure domain", false),
			evacuationOrderCommand(s, "withdraw", "send calls to them again", true),
			evacuationListCommand(s),
		},
	}
}

func evacuationOrderCommand(s *session, name, synopsis string, withdraw bool) *command {
	request := &apiv1.OrderEvacuationRequest{Withdraw: withdraw}
	return &command{
		name: name, args: "FAILURE-DOMAIN [--comment TEXT]", synopsis: synopsis,
		minArgs: 1, maxArgs: 1, session: s,
		flags: func(flags *flag.FlagSet) { registerComment(flags, &request.Comment) },
		run: func(ctx context.Context, s *session, args []string) error {
			request.FailureDomain, request.Operator = args[0], s.options.Operator
			return orderEvacuation(ctx, s, request)
		},
	}
}

// orderEvacuation sends an order and retries it while its outcome is not final. The order may take effect more than once,
// because an order for what is in force changes nothing.
func orderEvacuation(ctx context.Context, s *session, request *apiv1.OrderEvacuationRequest) error {
	c, err := s.client()
	if err != nil {
		return err
	}
	response, err := sendWithRetry(ctx, c, func(ctx context.Context, to *endpoint) (*apiv1.OrderEvacuationResponse, error) {
		return to.evacuations.Order(ctx, request)
	}, func(response *apiv1.OrderEvacuationResponse) bool { return isFinalOutcome(response.Outcome) })
	if err != nil {
		return errors.Wrapf(err, "evacuation of %s", request.FailureDomain)
	}
	if response.Outcome != apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED {
		return outcomeError("evacuation of "+request.FailureDomain, response.Outcome, response.Detail)
	}
	p := s.printer()
	return p.message(response, func() error {
		if response.RepeatedAnswer {
			return p.line("was in force already; nothing was changed")
		}
		return p.line("accepted as version %d", response.Version)
	})
}

func evacuationListCommand(s *session) *command {
	request := &apiv1.ListEvacuationsRequest{}
	return &command{
		name: "list", args: "[--stale]", synopsis: "list the evacuations in force, with who ordered them and when", session: s,
		flags: func(flags *flag.FlagSet) {
			flags.BoolVar(&request.Stale, "stale", false, "take an answer that may be old when no leader can be reached")
		},
		run: func(ctx context.Context, s *session, _ []string) error { return listEvacuations(ctx, s, request) },
	}
}

func listEvacuations(ctx context.Context, s *session, request *apiv1.ListEvacuationsRequest) error {
	c, err := s.client()
	if err != nil {
		return err
	}
	response, err := readWithRetry(ctx, c, func(ctx context.Context, to *endpoint) (*apiv1.ListEvacuationsResponse, error) {
		return to.evacuations.List(ctx, request)
	})
	if err != nil {
		return err
	}
	p := s.printer()
	return p.message(response, func() error {
		var rows [][]string
		for _, e := range response.Evacuations {
			rows = append(rows, []string{e.FailureDomain, e.Operator, timeText(e.OrderedUnixMs), strconv.FormatUint(e.Version, 10), e.Comment})
		}
		if err := p.table([]string{"FAILURE DOMAIN", "OPERATOR", "ORDERED", "VERSION", "COMMENT"}, rows); err != nil {
			return err
		}
		return printFreshness(p, response.Freshness.GetVersion(), response.Freshness)
	})
}
