package control

import (
	"context"
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/periodic"
	"samphireflow/internal/state"
	"samphireflow/internal/tree"
)

// adoptInterval is the time between looks for services without a version. It is well below the time in which a change
// of the configuration is to be in force.
const adoptInterval = 200 * time.Millisecond

// adoptLoop names the version of each service that has none, while this instance leads: the one that most of its
// announced backend servers have. Backend servers that start later in another version get calls by a move only.
func (s *Server) adoptLoop(ctx context.Context) error {
	return periodic.Run(ctx, adoptInterval, func(time.Time) {
		if s.options.Log.Status().IsLeader {
			for _, adoption := range adoptions(s.options.Machine.View(), s.members.Members().Servers) {
				s.proposeAdoption(ctx, adoption)
			}
		}
	})
}

// adoptions lists the versions to adopt.
func adoptions(view *state.View, servers []*apiv1.BackendServer) []*apiv1.AdoptVersion {
	var list []*apiv1.AdoptVersion
	for _, branch := range view.Tree.AtLevel(tree.LevelService) {
		service := branch.Path.Service
		if view.ServiceVersion(service) != "" {
			continue
		}
		if version := commonVersion(service, servers); version != "" {
			list = append(list, &apiv1.AdoptVersion{Service: service, Version: version})
		}
	}
	return list
}

// commonVersion returns the version of most of the ready backend servers of a service; of two with as many the one
// that sorts first, as v1 does before v2.
func commonVersion(service string, servers []*apiv1.BackendServer) string {
	counts := map[string]int{}
	best := ""
	for _, server := range servers {
		if server.Service != service || server.State != apiv1.ServerState_SERVER_STATE_READY {
			continue
		}
		counts[server.Version]++
	}
	for version, count := range counts {
		if best == "" || count > counts[best] || count == counts[best] && version < best {
			best = version
		}
	}
	return best
}

func (s *Server) proposeAdoption(ctx context.Context, adoption *apiv1.AdoptVersion) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	logger := s.options.Logger.With().Str("service", adoption.Service).Str("version", adoption.Version).Logger()
	if _, err := s.propose(ctx, &apiv1.Command{Kind: &apiv1.Command_Adopt{Adopt: adoption}}); err != nil {
		logger.Warn().Err(err).Msg("version of a service not recorded")
		return
	}
	logger.Info().Msg("version of a service adopted from its backend servers")
}
