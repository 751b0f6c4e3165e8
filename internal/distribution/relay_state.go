package distribution

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/snapshot"
)

// ErrStale is wrapped by the error that refuses a version which is not newer than what is held, or comes from an
// older term.
var ErrStale = errors.New("not newer than what is held")

// relayState is what a relay knows: the versions that it holds, which of them are released, and how old its word
// is. It is the relay's Source.
type relayState struct {
	failureDomain string
	instance      string
	started       time.Time
	// released holds the versions that are handed down.
	released *History

	mu    sync.Mutex
	holds *AckTracker
	// waiting holds the versions that are held and not yet released, oldest first.
	waiting []*apiv1.Snapshot
	newest  *apiv1.Snapshot
	// relays is the newest set of relays that this process knows of, from a version or from others' word.
	relays *apiv1.Assignment
	// accepted is the newest version that is known to be accepted.
	accepted uint64
	// heard is the time at which a quorum of the control group was last heard, through whomever.
	heard time.Time
	// changed is closed at a new release, told at anything that other relays should know at once.
	changed chan struct{}
	told    chan struct{}
	// membersComplete is set once the table of members was taken over from another process.
	membersComplete bool
	refusedVersion  uint64
	refusal         string
}

func newRelayState(options RelayOptions, now time.Time) *relayState {
	return &relayState{
		failureDomain: options.FailureDomain,
		instance:      options.Instance,
		started:       now,
		released:      NewHistory(),
		holds:         NewAckTracker(options.Instance),
		changed:       make(chan struct{}),
		told:          make(chan struct{}),
	}
}

// hold takes in a version. What is not newer, or not whole, is refused and changes nothing.
func (s *relayState) hold(snap *apiv1.Snapshot) error {
	if err := s.check(snap); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.newest != nil && snap.Version <= s.newest.Version {
		return errors.Wrapf(ErrStale, "version %d, held %d", snap.Version, s.newest.Version)
	}
	if s.newest != nil && snap.Term < s.newest.Term {
		return errors.Wrapf(ErrStale, "term %d, held %d", snap.Term, s.newest.Term)
	}
	s.newest = snap
	s.waiting = append(s.waiting, snap)
	s.accepted = max(s.accepted, snap.Version)
	s.refusedVersion, s.refusal = 0, ""
	s.holds.RecordHeld(snap.Version)
	s.relays = newer(s.relays, RelaysOf(snap))
	s.tell()
	s.release()
	return nil
}

// learnRelays notes a set of relays that another process knows of.
func (s *relayState) learnRelays(relays *apiv1.Assignment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if relays.GetFailureDomain() == s.failureDomain && relays.GetEpoch() > s.relays.GetEpoch() {
		s.relays = relays
		s.tell()
	}
}

// currentRelays returns the newest set of relays that is known, nil when there is none.
func (s *relayState) currentRelays() *apiv1.Assignment {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.relays
}

func (s *relayState) check(snap *apiv1.Snapshot) error {
	if snap.FailureDomain != s.failureDomain {
		return s.refuse(snap.Version, errors.Errorf("snapshot is for failure domain %q", snap.FailureDomain))
	}
	return s.refuse(snap.Version, snapshot.Check(snap))
}

// refuse remembers a version that could not be taken, and why.
func (s *relayState) refuse(version uint64, err error) error {
	if err == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusedVersion, s.refusal = version, err.Error()
	return err
}

func (s *relayState) refused() (uint64, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusedVersion, s.refusal
}

// release hands down what a quorum of the relays holds.
func (s *relayState) release() {
	grown := false
	for i := len(s.waiting) - 1; i >= 0; i-- {
		if snap := s.waiting[i]; s.holds.Releasable(snap.Version, RelaysOf(snap)) {
			s.holds.RecordReleased(snap.Version)
			grown = s.handDown(s.waiting[:i+1])
			s.waiting = s.waiting[i+1:]
			break
		}
	}
	if grown {
		close(s.changed)
		s.changed = make(chan struct{})
		s.tell()
	}
}

// handDown makes versions visible to watchers, oldest first.
func (s *relayState) handDown(versions []*apiv1.Snapshot) bool {
	grown := false
	for _, snap := range versions {
		grown = s.released.Put(snap) || grown
	}
	return grown
}

func (s *relayState) tell() {
	close(s.told)
	s.told = make(chan struct{})
}

// toldChannel returns a channel that is closed when there is something that other relays should know at once.
func (s *relayState) toldChannel() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.told
}

// floor notes the result of a linearizable read of the control group.
func (s *relayState) floor(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.holds.Synced()
	s.holds.RecordFloor(version)
	if s.holds.Synced() != was {
		s.tell()
	}
	s.release()
}

// synced reports whether the relay counts, and what it holds.
func (s *relayState) synced() (bool, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holds.Synced(), s.holds.Held()
}

// floorResponse tells what this relay holds.
func (s *relayState) floorResponse() *apiv1.FloorResponse {
	age := s.Age()
	s.mu.Lock()
	defer s.mu.Unlock()
	return &apiv1.FloorResponse{
		Instance:     s.instance,
		Version:      s.holds.Held(),
		Synced:       s.holds.Synced(),
		AgeMs:        uint64(age.Milliseconds()),
		Relays:       RelaysOf(s.newest),
		NewestRelays: s.relays,
	}
}

// hearRelay notes the word of another relay.
func (s *relayState) hearRelay(instance string, synced bool, version, released uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if synced {
		s.holds.RecordAck(instance, version)
	}
	s.holds.RecordReleased(released)
	s.release()
}

// hearAge notes that a process answered whose own word is a given time old.
func (s *relayState) hearAge(now time.Time, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if heard := now.Add(-age); heard.After(s.heard) {
		s.heard = heard
	}
}

func (s *relayState) accept(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepted = max(s.accepted, version)
}

// known returns the newest version that is held, nil when there is none, and the newest that is released.
func (s *relayState) known() (*apiv1.Snapshot, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest, s.holds.Released()
}

// isRelay reports whether this process is one of the relays.
func (s *relayState) isRelay() bool {
	return IsRelay(s.currentRelays(), s.instance)
}

func (s *relayState) completeMembers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.membersComplete = true
}
