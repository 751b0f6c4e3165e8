package claim

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
)

const (
	simulations        = 130_000
	stepsPerSimulation = 120
	maxAttempts        = 4
	maxRestarts        = 3
	maxSetChanges      = 2
)

// simulation is a set of claim holders, attempts at one key, and the messages between them. Every step is random:
// messages are delayed, reordered, lost and repeated, holders restart without their claims, and the set changes.
type simulation struct {
	random   *rand.Rand
	restarts int
	now      time.Time
	sets     []*apiv1.Assignment
	holders  map[string]*simHolder
	attempts []*simAttempt
	winners  int
}

// simHolder is the process of one holder.
type simHolder struct {
	store      *Store
	membership *Membership
	// observedSets is the number of sets that have reached the holder, oldest first.
	observedSets int
	incarnation  uint64
}

// simAttempt is the attempt of one node.
type simAttempt struct {
	attempt          Attempt
	epoch            uint64
	set              *apiv1.Assignment
	started          time.Time
	granted          map[string]bool
	requestsInFlight []string
	grantsInFlight   []string
	ended            bool
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1000, 0), holders: map[string]*simHolder{}}
	set := &apiv1.Assignment{FailureDomain: "hobart", Role: apiv1.AssignmentRole_ASSIGNMENT_ROLE_CLAIM_HOLDER, Epoch: 1}
	for i := range 3 {
		name := fmt.Sprint("h", i)
		s.start(name)
		set.Nodes = append(set.Nodes, &apiv1.AssignedNode{Instance: name, ControlAddr: name, Incarnation: 1, SinceEpoch: 1})
	}
	s.sets = append(s.sets, set)
	for _, h := range s.holders {
		s.observe(h)
	}
	return s
}

func (s *simulation) start(name string) {
	incarnation := uint64(1)
	if old := s.holders[name]; old != nil {
		incarnation = old.incarnation + 1
	}
	s.holders[name] = &simHolder{store: NewStore(), membership: NewMembership(name, incarnation, s.now), incarnation: incarnation}
}

// observe delivers the next set to a holder.
func (s *simulation) observe(h *simHolder) {
	if h.observedSets < len(s.sets) {
		h.observedSets++
		h.membership.Update(s.sets[h.observedSets-1], s.now)
	}
}

func (s *simulation) latest() *apiv1.Assignment {
	return s.sets[len(s.sets)-1]
}

func (s *simulation) randomInt(n int) int {
	return s.random.IntN(n)
}

// oneIn is true with a probability of 1/n.
func (s *simulation) oneIn(n int) bool {
	return s.random.IntN(n) == 0
}

func (s *simulation) anyHolder() *simHolder {
	return s.holders[fmt.Sprint("h", s.randomInt(len(s.holders)))]
}

// beginAttempt starts an attempt with any of the sets so far, since its node may lag behind.
func (s *simulation) beginAttempt() {
	set := s.sets[s.randomInt(len(s.sets))]
	a := &simAttempt{
		attempt: Attempt{"n", 1, uint64(len(s.attempts) + 1)}, epoch: set.Epoch, set: set, started: s.now, granted: map[string]bool{},
	}
	for _, node := range set.Nodes {
		a.requestsInFlight = append(a.requestsInFlight, node.Instance)
	}
	s.attempts = append(s.attempts, a)
}

// deliver delivers one request of an attempt to its holder. The request may be delivered again later.
func (s *simulation) deliver(a *simAttempt) {
	if len(a.requestsInFlight) == 0 {
		return
	}
	i := s.randomInt(len(a.requestsInFlight))
	name := a.requestsInFlight[i]
	if !s.oneIn(4) {
		a.requestsInFlight = append(a.requestsInFlight[:i:i], a.requestsInFlight[i+1:]...)
	}
	h := s.holders[name]
	request := &apiv1.ClaimRequest{
		FailureDomain: "hobart", Epoch: a.epoch, Key: "k", Digest: []byte("d"), Attempt: a.attempt.toProto(), RetentionMs: 3600_000,
	}
	if _, ok := h.membership.Check("hobart", a.epoch); !ok {
		return
	}
	if h.store.Claim(request, s.now).Status == apiv1.ClaimStatus_CLAIM_STATUS_GRANTED {
		a.grantsInFlight = append(a.grantsInFlight, name)
	}
}

// receiveGrant delivers one grant to an attempt, which wins with a majority within VoteWindow.
func (s *simulation) receiveGrant(a *simAttempt) {
	if len(a.grantsInFlight) == 0 || a.ended {
		return
	}
	i := s.randomInt(len(a.grantsInFlight))
	name := a.grantsInFlight[i]
	a.grantsInFlight = append(a.grantsInFlight[:i:i], a.grantsInFlight[i+1:]...)
	if s.now.Sub(a.started) > VoteWindow {
		a.ended = true
		return
	}
	a.granted[name] = true
	if len(a.granted) >= Quorum(len(a.set.Nodes)) {
		a.ended = true
		s.winners++
	}
}

// giveUp ends an attempt that has not won and releases its grants at some of the holders.
func (s *simulation) giveUp(a *simAttempt) {
	if len(a.granted) >= Quorum(len(a.set.Nodes)) {
		return
	}
	a.ended = true
	for _, node := range a.set.Nodes {
		if s.oneIn(2) {
			s.holders[node.Instance].store.Finish(&apiv1.FinishRequest{Key: "k", Attempt: a.attempt.toProto(), Release: true}, s.now)
		}
	}
}

// sync lets a holder read the claims of some other holders.
func (s *simulation) sync(name string) {
	h := s.holders[name]
	set := h.membership.SetToSync(s.now)
	if set == nil {
		return
	}
	others := 0
	for _, node := range set.Nodes {
		if node.Instance == name || s.oneIn(5) {
			continue
		}
		other := s.holders[node.Instance]
		if _, ok := other.membership.Check("hobart", set.Epoch); !ok {
			continue
		}
		others++
		claims, _ := other.store.Page("", pageLimit, s.now)
		for _, claim := range claims {
			h.store.Merge(claim, s.now)
		}
	}
	h.membership.CompleteSync(set.Epoch, others)
}

// replaceHolder adds a set in which a new holder takes the place of a random one.
func (s *simulation) replaceHolder() {
	name := fmt.Sprint("h", len(s.holders))
	s.start(name)
	current := s.latest()
	next := &apiv1.Assignment{FailureDomain: "hobart", Role: current.Role, Epoch: current.Epoch + 1}
	next.Nodes = append(next.Nodes, current.Nodes...)
	next.Nodes[s.randomInt(len(next.Nodes))] = &apiv1.AssignedNode{
		Instance: name, ControlAddr: name, Incarnation: 1, SinceEpoch: next.Epoch,
	}
	s.sets = append(s.sets, next)
}

// timeSteps are the times that may pass in one step. They lie below and above VoteWindow and the wait before a sync.
var timeSteps = []time.Duration{100 * time.Millisecond, 600 * time.Millisecond, 2 * VoteWindow}

func (s *simulation) step() {
	switch step := s.randomInt(100); {
	case step < 4:
		s.now = s.now.Add(timeSteps[s.randomInt(len(timeSteps))])
	case step < 8:
		if s.restarts < maxRestarts {
			s.restarts++
			s.start(fmt.Sprint("h", s.randomInt(len(s.holders))))
		}
	case step < 11:
		if len(s.sets) <= maxSetChanges {
			s.replaceHolder()
		}
	case step < 23:
		s.observe(s.anyHolder())
	case step < 38:
		s.sync(fmt.Sprint("h", s.randomInt(len(s.holders))))
	case step < 44 || len(s.attempts) == 0:
		if len(s.attempts) < maxAttempts {
			s.beginAttempt()
		}
	case step < 46:
		s.giveUp(s.attempts[s.randomInt(len(s.attempts))])
	case step < 74:
		s.deliver(s.attempts[s.randomInt(len(s.attempts))])
	default:
		s.receiveGrant(s.attempts[s.randomInt(len(s.attempts))])
	}
}

// TestOneAttemptWins checks that at most one attempt wins a key while messages get lost, holders restart and sets change.
func TestOneAttemptWins(t *testing.T) {
	won := 0
	for seed := range uint64(simulations) {
		s := newSimulation(seed)
		for range stepsPerSimulation {
			s.step()
		}
		require.LessOrEqual(t, s.winners, 1, "seed %d", seed)
		won += s.winners
	}
	require.Greater(t, won, simulations/10, "attempts must win often enough for the test to mean something")
}
