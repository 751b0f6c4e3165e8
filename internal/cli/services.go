package cli

import (
	"context"
	"maps"
	"slices"
	"strconv"

	apiv1 "samphireflow/api/v1"
)

// serviceVersion holds the number of backend servers of one version of a service by state, and the slots of the ready ones.
type serviceVersion struct {
	service, version       string
	ready, draining, slots int
}

func servicesCommand(s *session) *command {
	return &command{
		name: "services", synopsis: "list services with their versions, backend servers and running moves", session: s,
		run: func(ctx context.Context, s *session, _ []string) error { return services(ctx, s) },
	}
}

func services(ctx context.Context, s *session) error {
	c, err := s.client()
	if err != nil {
		return err
	}
	members, err := fetchMembers(ctx, c)
	if err != nil {
		return err
	}
	if s.options.Output == outputJSON {
		return s.printer().json(&apiv1.ListMembersResponse{Servers: members.Servers}, true)
	}
	moves, err := fetchMoves(ctx, c, &apiv1.ListMovesRequest{RunningOnly: true})
	if err != nil {
		return err
	}
	return printServices(s.printer(), countVersions(members.Servers), moves.Moves)
}

// countVersions counts the backend servers of each version, sorted by service and version.
func countVersions(servers []*apiv1.BackendServer) []*serviceVersion {
	counts := map[string]*serviceVersion{}
	for _, server := range servers {
		key := server.Service + "\x00" + server.Version
		if counts[key] == nil {
			counts[key] = &serviceVersion{service: server.Service, version: server.Version}
		}
		counts[key].add(server)
	}
	var list []*serviceVersion
	for _, key := range slices.Sorted(maps.Keys(counts)) {
		list = append(list, counts[key])
	}
	return list
}

func (v *serviceVersion) add(server *apiv1.BackendServer) {
	switch server.State {
	case apiv1.ServerState_SERVER_STATE_READY:
		v.ready++
		v.slots += int(server.Slots)
	case apiv1.ServerState_SERVER_STATE_DRAINING:
		v.draining++
	}
}

func printServices(p *printer, versions []*serviceVersion, moves []*apiv1.Move) error {
	var rows [][]string
	for _, v := range versions {
		rows = append(rows, []string{
			v.service, v.version, strconv.Itoa(v.ready), strconv.Itoa(v.draining), strconv.Itoa(v.slots), moveText(v, moves),
		})
	}
	return p.table([]string{"SERVICE", "VERSION", "READY", "DRAINING", "SLOTS", "MOVE"}, rows)
}

// moveText describes the running move from or to a version. It returns "-" if there is none.
func moveText(v *serviceVersion, moves []*apiv1.Move) string {
	for _, move := range moves {
		if move.Service != v.service {
			continue
		}
		if move.ToVersion == v.version {
			return move.Id + ": new, " + moveStateText(move.State) + " at " + shareText(move.ShareBp)
		}
		if move.FromVersion == v.version {
			return move.Id + ": old"
		}
	}
	return "-"
}
