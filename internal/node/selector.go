package node

import (
	"math/rand/v2"
	"slices"
	"sync"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/distribution"
)

// selector chooses the upstream of a node, which is the process that the node watches, renews its leases at and reports to:
// the node's own relay when the node is assigned as one, else a relay of its failure domain, and a control instance before
// any relay is assigned or when no relay answers. It is safe for concurrent use.
type selector struct {
	instance string
	ownRelay *distribution.Client
	dial     func(addr string) *distribution.Client

	mu sync.Mutex
	// control lists the addresses of the control instances.
	control []string
	relays  *apiv1.Assignment
	// choices lists the possible upstreams, the best first; current is the index of the one in use.
	choices []*distribution.Client
	current int
	// switched is closed when another upstream is chosen.
	switched chan struct{}
}

func newSelector(options Options, ownRelay *distribution.Client, dial func(addr string) *distribution.Client) *selector {
	s := &selector{instance: options.Instance, ownRelay: ownRelay, dial: dial, control: options.Control, switched: make(chan struct{})}
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

// learnControlAddrs adds the addresses of further control instances. It reports whether any was new.
func (s *selector) learnControlAddrs(addrs []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	learned := false
	for _, addr := range addrs {
		if !slices.Contains(s.control, addr) {
			s.control = append(slices.Clip(s.control), addr)
			s.choices = append(slices.Clip(s.choices), s.dial(addr))
			learned = true
		}
	}
	return learned
}

// controlAddrs returns the addresses of the known control instances.
func (s *selector) controlAddrs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.control)
}

// rank returns the choices, the best first. Control instances are in random order, so that nodes spread over them.
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
		choices = append(choices, s.dial(addr))
	}
	for _, i := range rand.Perm(len(s.control)) {
		choices = append(choices, s.dial(s.control[i]))
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
