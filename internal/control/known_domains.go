package control

import "sync"

// knownDomains is the set of the failure domains that this process has seen. A failure domain stays in it when all its
// instances are cut off. It is safe for concurrent use.
type knownDomains struct {
	mu    sync.Mutex
	names map[string]bool
}

func newKnownDomains() *knownDomains {
	return &knownDomains{names: map[string]bool{}}
}

func (k *knownDomains) add(name string) {
	if name == "" {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.names[name] = true
}

func (k *knownDomains) contains(name string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.names[name]
}

// learnDomains records the failure domains of the control instances, of all members and of the settings tree.
func (s *Server) learnDomains() {
	for _, instance := range s.options.Log.Status().Members {
		s.domains.add(instance.FailureDomain)
	}
	members := s.members.Members()
	for _, node := range members.Nodes {
		s.domains.add(node.FailureDomain)
	}
	for _, server := range members.Servers {
		s.domains.add(server.FailureDomain)
	}
	for _, branch := range s.options.Machine.View().Tree.Branches() {
		s.domains.add(branch.Path.Site)
	}
}
