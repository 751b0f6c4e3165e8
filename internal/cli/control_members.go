package cli

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
)

func controlMembersCommands(s *session) *commandSet {
	return &commandSet{
		name: "control-members", synopsis: "show and change the members of the control group", session: s,
		commands: []subcommands.Command{
			&command{
				name: "list", synopsis: "list the members as each control instance knows them", session: s,
				run: func(ctx context.Context, s *session, _ []string) error { return listControlMembers(ctx, s) },
			},
			&command{
				name: "add", args: "NAME", minArgs: 1, maxArgs: 1, session: s,
				synopsis: "let an instance of a new name join, once it has started with a blank data folder",
				run: func(ctx context.Context, s *session, args []string) error {
					return changeControlMembers(ctx, s, args[0], apiv1.ControlMembers.Add)
				},
			},
			&command{
				name: "remove", args: "NAME", minArgs: 1, maxArgs: 1, session: s,
				synopsis: "take an instance out of the group",
				run: func(ctx context.Context, s *session, args []string) error {
					return changeControlMembers(ctx, s, args[0], apiv1.ControlMembers.Remove)
				},
			},
		},
	}
}

func listControlMembers(ctx context.Context, s *session) error {
	header := []string{"ADDRESS", "INSTANCE", "VOTES", "LEADER", "HEARD", "LOG BYTES", "MEMBERS", "ASK TO JOIN"}
	return queryEach(ctx, s, "control-members", header, func(ctx context.Context, to *endpoint) (*apiv1.ListControlMembersResponse, error) {
		return to.controlMembers.List(ctx, &apiv1.ListControlMembersRequest{})
	}, controlMembersRow)
}

func controlMembersRow(address string, response *apiv1.ListControlMembersResponse, err error) []string {
	if err != nil {
		return []string{address, "-", "-", "-", "-", "-", err.Error(), "-"}
	}
	age := time.Duration(response.ContactAgeMs) * time.Millisecond
	return []string{
		address, response.Instance, strconv.FormatBool(response.Votes), response.Leader, age.String() + " ago",
		strconv.FormatUint(response.LogBytes, 10), memberNames(response.Members), strings.Join(response.Joiners, " "),
	}
}

// memberNames joins the names of members and marks learners.
func memberNames(members []*apiv1.ReplicaMember) string {
	var names []string
	for _, member := range members {
		name := member.Name
		if member.Learner {
			name += "(learner)"
		}
		names = append(names, name)
	}
	return strings.Join(names, " ")
}

// controlMembersMethod is a method of the service ControlMembers that changes the group.
type controlMembersMethod func(apiv1.ControlMembers, context.Context, *apiv1.ChangeControlMembersRequest) (*apiv1.ChangeControlMembersResponse, error)

func changeControlMembers(ctx context.Context, s *session, name string, method controlMembersMethod) error {
	c, err := s.client()
	if err != nil {
		return err
	}
	response, err := sendWithRetry(ctx, c, func(ctx context.Context, to *endpoint) (*apiv1.ChangeControlMembersResponse, error) {
		return method(to.controlMembers, ctx, &apiv1.ChangeControlMembersRequest{Name: name})
	}, func(response *apiv1.ChangeControlMembersResponse) bool {
		return response.Fate == apiv1.ChangeFate_CHANGE_FATE_ACCEPTED
	})
	if err != nil {
		return err
	}
	switch response.Fate {
	case apiv1.ChangeFate_CHANGE_FATE_ACCEPTED:
		return s.printer().message(response, func() error { return s.printer().line("accepted") })
	case apiv1.ChangeFate_CHANGE_FATE_UNKNOWN:
		return &exitError{status: ExitUnknown, cause: errors.New("the outcome is unknown: " + response.Detail)}
	}
	return &exitError{status: ExitRefused, cause: errors.New(response.Detail)}
}
