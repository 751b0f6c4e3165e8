package node

import (
	"math/rand/v2"
	"slices"
	"sync"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/copies"
	"samphireflow/internal/distribution"
)

// selector chooses the upstream of a node, which is the process that the node watches, renews its leases at and reports to:
// the node's own relay when the node is assigned as one, else a relay of its failure domain, and a control instance before
// any relay is assigned or when no relay answers. Of the control instances it prefers those of the node's failure domain,
// so that versions and members cross between failure domains once for each control instance and not for each node. It is
// safe for concurrent use.
type selector struct {
	instance      string
	failureDomain string
	ownRelay      *distribution.Client
	dial          func(addr string) *distribution.Client

	mu sync.Mutex
	// control lists the control instances in random order, so that nodes spread over them.
	control []*apiv1.ControlInstance
	relays  *apiv1.Assignment
	// choices lists the possible upstreams, the best first; current is the index of the one in use.
	choices []*distribution.Client
	current int
	// switched is closed when another upstream is chosen.
	switched chan struct{}
	// nearKnown is closed once a control instance of the node's failure domain is known.
	nearKnown     chan struct{}
	nearKnownOnce sync.Once
}

func newSelector(options Options, ownRelay *distribution.Client, dial func(addr string) *distribution.Client) *selector {
	s := &selector{instance: options.Instance, failureDomain: options.FailureDomain, ownRelay: ownRelay, dial: dial, switched: make(chan struct{}), nearKnown: make(chan struct{})}
	for _, i := range rand.Perm(len(options.Control)) {
		s.control = append(s.control, &apiv1.ControlInstance{ControlAddr: options.Control[i]})
	}
	s.choices = s.rank()
	return s
}

// learnRelays adopts a set of relays if it is newer than the known one, and reports whether it was.
func (s *selector) learnRelays(relays *apiv1.Assignment) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if relays.GetEpoch() <= s.relays.GetEpoch() {
		return false
	}
	s.relays = relays
	before := s.choices[s.current].Addr
	s.choices = s.rank()
	s.current = 0
	if s.choices[0].Addr != before {
		s.signalSwitch()
	}
	return true
}

// learnControlInstances adds further control instances and the failure domains of known ones. It keeps the upstream in use
// and reports whether anything was new.
func (s *selector) learnControlInstances(instances []*apiv1.ControlInstance) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	learned := false
	for _, instance := range instances {
		i := slices.IndexFunc(s.control, func(known *apiv1.ControlInstance) bool { return known.ControlAddr == instance.ControlAddr })
		switch {
		case i < 0:
			at := rand.IntN(len(s.control) + 1)
			s.control = slices.Insert(slices.Clone(s.control), at, instance)
			learned = true
		case instance.FailureDomain != "" && s.control[i].FailureDomain != instance.FailureDomain:
			s.control = slices.Clone(s.control)
			s.control[i] = instance
			learned = true
		}
	}
	if learned {
		inUse := s.choices[s.current]
		s.choices = s.rank()
		s.current = slices.Index(s.choices, inUse)
		if slices.ContainsFunc(s.control, s.isNear) {
			s.nearKnownOnce.Do(func() { close(s.nearKnown) })
		}
	}
	return learned
}

// controlAddrs returns the addresses of the known control instances.
func (s *selector) controlAddrs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	addrs := make([]string, 0, len(s.control))
	for _, instance := range s.control {
		addrs = append(addrs, instance.ControlAddr)
	}
	return addrs
}

// holders lists the known control instances as holders of copies: the one in use first, then those of the node's failure domain.
func (s *selector) holders() []copies.Holder {
	s.mu.Lock()
	defer s.mu.Unlock()
	inUse := s.choices[s.current].Addr
	var holders []copies.Holder
	for _, instance := range s.ranked() {
		holder := copies.Holder{Addr: instance.ControlAddr, FailureDomain: instance.FailureDomain}
		if holder.Addr == inUse {
			holders = slices.Insert(holders, 0, holder)
		} else {
			holders = append(holders, holder)
		}
	}
	return holders
}

// nearer returns the control instance of the node's failure domain to prefer over the upstream in use, nil if there is
// none, or while relays are assigned.
func (s *selector) nearer() *distribution.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.choices) != len(s.control) {
		return nil
	}
	var near []*distribution.Client
	for i, instance := range s.ranked() {
		if s.isNear(instance) {
			near = append(near, s.choices[i])
		}
	}
	if len(near) == 0 || slices.Contains(near, s.choices[s.current]) {
		return nil
	}
	return near[rand.IntN(len(near))]
}

// ranked returns the control instances of the node's failure domain, then the others.
func (s *selector) ranked() []*apiv1.ControlInstance {
	list := slices.Clone(s.control)
	slices.SortStableFunc(list, func(a, b *apiv1.ControlInstance) int { return s.distance(a) - s.distance(b) })
	return list
}

// isNear reports whether a control instance is in the node's failure domain.
func (s *selector) isNear(instance *apiv1.ControlInstance) bool {
	return instance.FailureDomain == s.failureDomain
}

// distance returns 0 for a control instance of the node's failure domain and 1 for another one.
func (s *selector) distance(instance *apiv1.ControlInstance) int {
	if s.isNear(instance) {
		return 0
	}
	return 1
}

// client returns the client for an address. One that is among the choices is kept, because users compare clients.
func (s *selector) client(addr string) *distribution.Client {
	for _, choice := range s.choices {
		if choice.Addr == addr {
			return choice
		}
	}
	return s.dial(addr)
}

// rank returns the choices, the best first: relays, the control instances of the node's failure domain, and the others.
func (s *selector) rank() []*distribution.Client {
	var choices []*distribution.Client
	var relays []string
	for _, node := range s.relays.GetNodes() {
		if node.Instance == s.instance {
			choices = append(choices, s.ownRelay)
			continue
		}
		relays = append(relays, node.ControlAddr)
	}
	for _, addr := range distribution.Rank(s.instance, relays) {
		choices = append(choices, s.client(addr))
	}
	for _, instance := range s.ranked() {
		choices = append(choices, s.client(instance.ControlAddr))
	}
	return choices
}

// epoch returns the epoch of the newest known set of relays.
func (s *selector) epoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.relays.GetEpoch()
}

// choice returns the upstream in use and a channel that is closed when another one is chosen.
func (s *selector) choice() (*distribution.Client, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.choices[s.current], s.switched
}

// alternatives returns the relays that are not in use. Without relays it returns the control instances that are not in
// use.
func (s *selector) alternatives() []*distribution.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	choices := s.choices
	if relays := len(s.choices) - len(s.control); relays > 0 {
		choices = choices[:relays]
	}
	var list []*distribution.Client
	for i, choice := range choices {
		if i != s.current {
			list = append(list, choice)
		}
	}
	return list
}

// failOver switches to the next choice, unless the failed one is no longer in use.
func (s *selector) failOver(failed *distribution.Client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.choices[s.current] != failed || len(s.choices) == 1 {
		return
	}
	s.current = (s.current + 1) % len(s.choices)
	s.signalSwitch()
}

// switchTo switches to the target if it is still one of the choices.
func (s *selector) switchTo(target *distribution.Client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, choice := range s.choices {
		if choice == target && i != s.current {
			s.current = i
			s.signalSwitch()
		}
	}
}

// bypassesRelays reports whether a control instance is in use although relays are assigned.
func (s *selector) bypassesRelays() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	relays := len(s.choices) - len(s.control)
	return relays > 0 && s.current >= relays
}

// failBack returns to the first choice. It reports whether another one was in use.
func (s *selector) failBack() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == 0 {
		return false
	}
	s.current = 0
	s.signalSwitch()
	return true
}

// signalSwitch closes switched and replaces it. The caller must hold mu.
func (s *selector) signalSwitch() {
	close(s.switched)
	s.switched = make(chan struct{})
}
