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
	worlds      = 130_000
	stepsAWorld = 120
	maxAttempts = 4
	maxDeaths   = 3
	maxChanges  = 2
)

// world is a set of claim holders, attempts at one key, and the messages between them. Every step is random, so
// messages are delayed, reordered, lost and repeated, holders die and come back blank, and the set changes.
type world struct {
	random   *rand.Rand
	deaths   int
	now      time.Time
	sets     []*apiv1.Assignment
	holders  map[string]*simHolder
	attempts []*simAttempt
	winners  int
}

// simHolder is one holder's process.
type simHolder struct {
	store *Store
	seat  *Membership
	// seen is the number of sets that it has observed; later ones have not reached it yet.
	seen        int
	incarnation uint64
}

// simAttempt is one node's attempt.
type simAttempt struct {
	attempt Attempt
	epoch   uint64
	set     *apiv1.Assignment
	started time.Time
	granted map[string]bool
	pending []string
	replies []string
	over    bool
}

func newWorld(seed uint64) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1000, 0), holders: map[string]*simHolder{}}
	set := &apiv1.Assignment{FailureDomain: "hobart", Role: apiv1.AssignmentRole_ASSIGNMENT_ROLE_CLAIM_HOLDER, Epoch: 1}
	for i := range 3 {
		name := fmt.Sprint("h", i)
		w.start(name)
		set.Nodes = append(set.Nodes, &apiv1.AssignedNode{Instance: name, ControlAddr: name, Incarnation: 1, SinceEpoch: 1})
	}
	w.sets = append(w.sets, set)
	for _, h := range w.holders {
		w.observe(h)
	}
	return w
}

func (w *world) start(name string) {
	incarnation := uint64(1)
	if old := w.holders[name]; old != nil {
		incarnation = old.incarnation + 1
	}
	w.holders[name] = &simHolder{store: NewStore(), seat: NewMembership(name, incarnation, w.now), incarnation: incarnation}
}

// observe lets a holder see one more set.
func (w *world) observe(h *simHolder) {
	if h.seen < len(w.sets) {
		h.seen++
		h.seat.Update(w.sets[h.seen-1], w.now)
	}
}

func (w *world) latest() *apiv1.Assignment {
	return w.sets[len(w.sets)-1]
}

func (w *world) pick(n int) int {
	return w.random.IntN(n)
}

// chance is true in one of n cases.
func (w *world) chance(n int) bool {
	return w.random.IntN(n) == 0
}

func (w *world) anyHolder() *simHolder {
	return w.holders[fmt.Sprint("h", w.pick(len(w.holders)))]
}

// begin starts an attempt under any set that a lagging node may still have.
func (w *world) begin() {
	set := w.sets[w.pick(len(w.sets))]
	a := &simAttempt{
		attempt: Attempt{"n", 1, uint64(len(w.attempts) + 1)}, epoch: set.Epoch, set: set, started: w.now, granted: map[string]bool{},
	}
	for _, node := range set.Nodes {
		a.pending = append(a.pending, node.Instance)
	}
	w.attempts = append(w.attempts, a)
}

// deliver hands one request of an attempt to its holder; the request may be repeated later.
func (w *world) deliver(a *simAttempt) {
	if len(a.pending) == 0 {
		return
	}
	i := w.pick(len(a.pending))
	name := a.pending[i]
	if !w.chance(4) {
		a.pending = append(a.pending[:i:i], a.pending[i+1:]...)
	}
	h := w.holders[name]
	request := &apiv1.ClaimRequest{
		FailureDomain: "hobart", Epoch: a.epoch, Key: "k", Digest: []byte("d"), Attempt: a.attempt.message(), RetentionMs: 3600_000,
	}
	if _, ok := h.seat.Check("hobart", a.epoch); !ok {
		return
	}
	if h.store.Claim(request, w.now).Status == apiv1.ClaimStatus_CLAIM_STATUS_GRANTED {
		a.replies = append(a.replies, name)
	}
}

// hear hands one grant to an attempt, which wins with a majority within the vote window.
func (w *world) hear(a *simAttempt) {
	if len(a.replies) == 0 || a.over {
		return
	}
	i := w.pick(len(a.replies))
	name := a.replies[i]
	a.replies = append(a.replies[:i:i], a.replies[i+1:]...)
	if w.now.Sub(a.started) > VoteWindow {
		a.over = true
		return
	}
	a.granted[name] = true
	if len(a.granted) >= Quorum(len(a.set.Nodes)) {
		a.over = true
		w.winners++
	}
}

// giveUp ends an attempt that has not won and releases one of its grants.
func (w *world) giveUp(a *simAttempt) {
	if len(a.granted) >= Quorum(len(a.set.Nodes)) {
		return
	}
	a.over = true
	for _, node := range a.set.Nodes {
		if w.chance(2) {
			w.holders[node.Instance].store.Finish(&apiv1.FinishRequest{Key: "k", Attempt: a.attempt.message(), Release: true}, w.now)
		}
	}
}

// sync lets a holder read some of the others.
func (w *world) sync(name string) {
	h := w.holders[name]
	set := h.seat.SetToSync(w.now)
	if set == nil {
		return
	}
	others := 0
	for _, node := range set.Nodes {
		if node.Instance == name || w.chance(5) {
			continue
		}
		other := w.holders[node.Instance]
		if _, ok := other.seat.Check("hobart", set.Epoch); !ok {
			continue
		}
		others++
		claims, _ := other.store.Page("", pageLimit, w.now)
		for _, claim := range claims {
			h.store.Merge(claim, w.now)
		}
	}
	h.seat.CompleteSync(set.Epoch, others)
}

// replace puts a new holder in the place of any other.
func (w *world) replace() {
	name := fmt.Sprint("h", len(w.holders))
	w.start(name)
	current := w.latest()
	next := &apiv1.Assignment{FailureDomain: "hobart", Role: current.Role, Epoch: current.Epoch + 1}
	next.Nodes = append(next.Nodes, current.Nodes...)
	next.Nodes[w.pick(len(next.Nodes))] = &apiv1.AssignedNode{
		Instance: name, ControlAddr: name, Incarnation: 1, SinceEpoch: next.Epoch,
	}
	w.sets = append(w.sets, next)
}

// pauses are the times that may pass in one step, below and above the vote window and the wait before a sync.
var pauses = []time.Duration{100 * time.Millisecond, 600 * time.Millisecond, 2 * VoteWindow}

func (w *world) step() {
	switch step := w.pick(100); {
	case step < 4:
		w.now = w.now.Add(pauses[w.pick(len(pauses))])
	case step < 8:
		if w.deaths < maxDeaths {
			w.deaths++
			w.start(fmt.Sprint("h", w.pick(len(w.holders))))
		}
	case step < 11:
		if len(w.sets) <= maxChanges {
			w.replace()
		}
	case step < 23:
		w.observe(w.anyHolder())
	case step < 38:
		w.sync(fmt.Sprint("h", w.pick(len(w.holders))))
	case step < 44 || len(w.attempts) == 0:
		if len(w.attempts) < maxAttempts {
			w.begin()
		}
	case step < 46:
		w.giveUp(w.attempts[w.pick(len(w.attempts))])
	case step < 74:
		w.deliver(w.attempts[w.pick(len(w.attempts))])
	default:
		w.hear(w.attempts[w.pick(len(w.attempts))])
	}
}

// TestOneAttemptWins checks that a key is won once, whatever happens to messages, holders and sets.
func TestOneAttemptWins(t *testing.T) {
	won := 0
	for seed := range uint64(worlds) {
		w := newWorld(seed)
		for range stepsAWorld {
			w.step()
		}
		require.LessOrEqual(t, w.winners, 1, "seed %d", seed)
		won += w.winners
	}
	require.Greater(t, won, worlds/10, "attempts must win often enough for the test to mean something")
}
