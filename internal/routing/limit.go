package routing

import apiv1 "samphireflow/api/v1"

// Limiter returns the share that the new version of a service's move may get on this node, in basis points. A share
// above the given one is not taken.
type Limiter func(service *apiv1.ServiceConfig, share uint32) uint32

// Limit returns the table with the shares of moving services limited; what the new version does not get goes to the
// old one. A service whose old version has no ready backend server keeps its shares. The table itself is unchanged,
// and is returned where nothing is limited.
func (t *Table) Limit(limit Limiter) *Table {
	limited := t
	for name, service := range t.services {
		changed := service.limit(limit)
		if changed == service {
			continue
		}
		if limited == t {
			limited = t.copyServices()
		}
		limited.services[name] = changed
	}
	return limited
}

func (t *Table) copyServices() *Table {
	copied := *t
	copied.services = make(map[string]*Service, len(t.services))
	for name, service := range t.services {
		copied.services[name] = service
	}
	return &copied
}

func (s *Service) limit(limit Limiter) *Service {
	if s.Config.MoveId == "" || len(s.Versions) != 2 {
		return s
	}
	fresh, old := s.Versions[0], s.Versions[1]
	allowed := limit(s.Config, fresh.ShareBp)
	oldReady := len(old.Local)+len(old.Remote) > 0
	if allowed >= fresh.ShareBp || !oldReady {
		return s
	}
	copied := *s
	old.ShareBp += fresh.ShareBp - allowed
	fresh.ShareBp = allowed
	copied.Versions = []Version{fresh, old}
	return &copied
}
