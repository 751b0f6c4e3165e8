package control

import (
	"context"
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/periodic"
	"samphireflow/internal/state"
	"samphireflow/internal/tree"
)

// adoptInterval is the time between checks for services without a version. It is well below the time within which a
// change of the configuration must take effect.
const adoptInterval = 200 * time.Millisecond

// adoptLoop sets the version of each service that has none, while this instance leads. It adopts the version that most
// ready backend servers of the service announce. Backend servers that start later with another version get calls only
// through a move.
func (s *Server) adoptLoop(ctx context.Context) error {
	return periodic.Run(ctx, adoptInterval, func(time.Time) {
		if s.options.Log.Status().IsLeader {
			for _, adoption := range adoptions(s.options.Machine.View(), s.members.Members().Servers) {
				s.proposeAdoption(ctx, adoption)
			}
		}
	})
}

// adoptions returns the version to adopt for each service that has none and for which backend servers are ready.
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

// commonVersion returns the version of most ready backend servers of a service, or "" if none is ready. Of versions with
// equally many backend servers, it returns the one that sorts first, so v1 rather than v2.
func commonVersion(service string, servers []*apiv1.BackendServer) string {
	counts := map[string]int{}
	best := ""
	for _, server := range servers {
		if server.Service != service || server.Version == "" || server.State != apiv1.ServerState_SERVER_STATE_READY {
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
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	logger := s.options.Logger.With().Str("service", adoption.Service).Str("version", adoption.Version).Logger()
	if _, err := s.propose(ctx, &apiv1.Command{Kind: &apiv1.Command_Adopt{Adopt: adoption}}); err != nil {
		logger.Warn().Err(err).Msg("could not record the version of a service")
		return
	}
	logger.Info().Msg("version of a service adopted from its backend servers")
}
