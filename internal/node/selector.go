package node

import (
	"math/rand/v2"
	"slices"
	"sync"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/distribution"
)

// selector chooses the process that a node watches, renews its leases at and reports to: the node's own relay when
// the node is one, else a relay of its failure domain, and control instances before any relay is assigned or when
// none answers. It is safe for use by many goroutines.
type selector struct {
	instance string
	own      *distribution.Client
	dial     func(addr string) *distribution.Client

	mu      sync.Mutex
	control []string
	relays  *apiv1.Assignment
	choices []*distribution.Client
	current int
	// switched is closed when another process is chosen.
	switched chan struct{}
}

func newSelector(options Options, own *distribution.Client, dial func(addr string) *distribution.Client) *selector {
	s := &selector{instance: options.Instance, own: own, dial: dial, control: options.Control, switched: make(chan struct{})}
	s.choices = s.rank()
	return s
}

// learn takes over a newer set of relays. It reports whether it was newer.
func (s *selector) learn(relays *apiv1.Assignment) bool {
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
		s.wake()
	}
	return true
}

// learnControl adds control instances that the settings do not name. It reports whether any was new.
func (s *selector) learnControl(addrs []string) bool {
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

// controls lists the known control instances.
func (s *selector) controls() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.control)
}

// rank lists the choices, the best first. Control instances stand in random order, so that they share the load.
func (s *selector) rank() []*distribution.Client {
	var choices []*distribution.Client
	var relays []string
	for _, node := range s.relays.GetNodes() {
		if node.Instance == s.instance {
			choices = append(choices, s.own)
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

// epoch returns the epoch of the newest set of relays that is known.
func (s *selector) epoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.relays.GetEpoch()
}

// choice returns the process in use and a channel that is closed when another one is chosen.
func (s *selector) choice() (*distribution.Client, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.choices[s.current], s.switched
}

// others lists the relays that are not in use, or the control instances where there are no relays.
func (s *selector) others() []*distribution.Client {
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

// fail goes on to the next choice, unless the failed one is no longer in use.
func (s *selector) fail(failed *distribution.Client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.choices[s.current] != failed || len(s.choices) == 1 {
		return
	}
	s.current = (s.current + 1) % len(s.choices)
	s.wake()
}

// use turns to a relay that is known to be better.
func (s *selector) use(better *distribution.Client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, choice := range s.choices {
		if choice == better && i != s.current {
			s.current = i
			s.wake()
		}
	}
}

// strayed reports whether a control instance is in use although relays are assigned.
func (s *selector) strayed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	relays := len(s.choices) - len(s.control)
	return relays > 0 && s.current >= relays
}

// home turns back to the first choice. It reports whether another one was in use.
func (s *selector) home() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == 0 {
		return false
	}
	s.current = 0
	s.wake()
	return true
}

func (s *selector) wake() {
	close(s.switched)
	s.switched = make(chan struct{})
}
