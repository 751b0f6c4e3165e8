package distribution

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/snapshot"
)

// ErrStale is wrapped by the error for a version that is not newer than the held one, or is from an older term.
var ErrStale = errors.New("not newer than the held version")

// maxUnreleased is the number of versions that a relay keeps while no quorum of the relays holds them. It covers the versions
// of a few round trips between relays.
const maxUnreleased = 8

// relayState is the configuration state of a relay: the versions that it holds, which of them are released, and when it
// last had contact with the control group. It is the relay's Source and safe for concurrent use.
type relayState struct {
	failureDomain string
	instance      string
	started       time.Time
	// onRefusal is RelayOptions.OnRefusal.
	onRefusal func()
	// held holds all versions, and released those that are served to watchers.
	held     *History
	released *History

	// digestMu guards digester.
	digestMu sync.Mutex
	digester snapshot.Digester

	mu      sync.Mutex
	tracker *AckTracker
	// unreleased holds versions that are not released yet, oldest first, the newest one among them; newest is the newest
	// version of all.
	unreleased []*apiv1.Snapshot
	newest     *apiv1.Snapshot
	// relays is the newest known set of relays, from a version or from another process.
	relays *apiv1.Assignment
	// accepted is the newest version that is known to be accepted.
	accepted uint64
	// lastContact is the time of the last contact with a quorum of the control group, direct or through other processes.
	lastContact time.Time
	// releaseChanged is closed when a version is released, stateChanged at every change that other relays must learn at
	// once.
	releaseChanged chan struct{}
	stateChanged   chan struct{}
	// membersComplete is set once the table of members has been received from another process.
	membersComplete bool
	refusedVersion  uint64
	refusal         string
}

func newRelayState(options RelayOptions, now time.Time) *relayState {
	return &relayState{
		failureDomain:  options.FailureDomain,
		instance:       options.Instance,
		started:        now,
		onRefusal:      options.OnRefusal,
		held:           NewHistory(),
		released:       NewHistory(),
		tracker:        NewAckTracker(options.Instance),
		releaseChanged: make(chan struct{}),
		stateChanged:   make(chan struct{}),
	}
}

// addVersion adds a version. A version that is invalid or not newer is refused and leaves the held versions unchanged.
func (s *relayState) addVersion(snap *apiv1.Snapshot) error {
	if err := s.validate(snap); err != nil {
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
	s.held.Put(snap)
	snap = s.held.Newest()
	s.newest = snap
	s.addUnreleased(snap)
	s.accepted = max(s.accepted, snap.Version)
	s.refusedVersion, s.refusal = 0, ""
	s.tracker.RecordHeld(snap.Version)
	s.relays = newerAssignment(s.relays, RelaysOf(snap))
	s.notifyStateChanged()
	s.releaseVersions()
	return nil
}

// addUnreleased adds a version to those that are not released yet. Beyond maxUnreleased, it takes the place of the one before:
// the oldest versions stay, so that a release does not have to wait for relays that lag behind the newest one. The caller
// must hold mu.
func (s *relayState) addUnreleased(snap *apiv1.Snapshot) {
	if len(s.unreleased) < maxUnreleased {
		s.unreleased = append(s.unreleased, snap)
		return
	}
	s.unreleased[len(s.unreleased)-1] = snap
}

// learnRelays records a set of relays from another process when it is newer than the known one.
func (s *relayState) learnRelays(relays *apiv1.Assignment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if relays.GetFailureDomain() == s.failureDomain && relays.GetEpoch() > s.relays.GetEpoch() {
		s.relays = relays
		s.notifyStateChanged()
	}
}

// currentRelays returns the newest set of relays that is known, nil when there is none.
func (s *relayState) currentRelays() *apiv1.Assignment {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.relays
}

// validate checks the failure domain and the content of a version, and records a refusal when they are wrong.
func (s *relayState) validate(snap *apiv1.Snapshot) error {
	if snap.FailureDomain != s.failureDomain {
		return s.recordRefusal(snap.Version, errors.Errorf("snapshot is for failure domain %q", snap.FailureDomain))
	}
	s.digestMu.Lock()
	err := s.digester.Check(snap)
	s.digestMu.Unlock()
	return s.recordRefusal(snap.Version, err)
}

// decode applies a configuration update to a held version; see Decode.
func (s *relayState) decode(held *apiv1.Snapshot, response UpdateResponse) (*apiv1.Snapshot, uint64, error) {
	s.digestMu.Lock()
	defer s.digestMu.Unlock()
	return Decode(&s.digester, held, response)
}

// recordRefusal records a refused version and the reason, and returns the error. It does nothing without an error.
func (s *relayState) recordRefusal(version uint64, err error) error {
	if err == nil {
		return nil
	}
	if s.setRefused(version, err.Error()) && s.onRefusal != nil {
		s.onRefusal()
	}
	return err
}

// setRefused stores a refused version and the reason, and reports whether they differ from the last ones.
func (s *relayState) setRefused(version uint64, refusal string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := version != s.refusedVersion || refusal != s.refusal
	s.refusedVersion, s.refusal = version, refusal
	return changed
}

func (s *relayState) refused() (uint64, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusedVersion, s.refusal
}

// releaseVersions releases the newest version that a quorum of the relays holds, and all older ones. The caller must hold
// mu.
func (s *relayState) releaseVersions() {
	added := false
	for i := len(s.unreleased) - 1; i >= 0; i-- {
		if snap := s.unreleased[i]; s.tracker.Releasable(snap.Version, RelaysOf(snap)) {
			s.tracker.RecordReleased(snap.Version)
			added = s.appendReleased(s.unreleased[:i+1])
			s.unreleased = s.unreleased[i+1:]
			break
		}
	}
	if added {
		close(s.releaseChanged)
		s.releaseChanged = make(chan struct{})
		s.notifyStateChanged()
	}
}

// appendReleased makes versions visible to watchers, oldest first. It reports whether any of them was newer than those
// before.
func (s *relayState) appendReleased(versions []*apiv1.Snapshot) bool {
	added := false
	for _, snap := range versions {
		added = s.released.Put(snap) || added
	}
	return added
}

// notifyStateChanged wakes the waiters for a state change. The caller must hold mu.
func (s *relayState) notifyStateChanged() {
	close(s.stateChanged)
	s.stateChanged = make(chan struct{})
}

// stateChangedChannel returns a channel that is closed at the next change that other relays must learn at once.
func (s *relayState) stateChangedChannel() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stateChanged
}

// recordFloor records the result of a linearizable read of the control group.
func (s *relayState) recordFloor(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasSynced := s.tracker.Synced()
	s.tracker.RecordFloor(version)
	if s.tracker.Synced() != wasSynced {
		s.notifyStateChanged()
	}
	s.releaseVersions()
}

// syncStatus reports whether the relay is synced, and the newest version that it holds.
func (s *relayState) syncStatus() (bool, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Synced(), s.tracker.Held()
}

// floorResponse returns the newest version that this relay holds and the relays that it knows.
func (s *relayState) floorResponse() *apiv1.FloorResponse {
	age := s.Age()
	s.mu.Lock()
	defer s.mu.Unlock()
	return &apiv1.FloorResponse{
		Instance:     s.instance,
		Version:      s.tracker.Held(),
		Synced:       s.tracker.Synced(),
		AgeMs:        uint64(age.Milliseconds()),
		Relays:       RelaysOf(s.newest),
		NewestRelays: s.relays,
	}
}

// recordRelayStatus records the versions that another relay holds and has released.
func (s *relayState) recordRelayStatus(instance string, synced bool, version, released uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if synced {
		s.tracker.RecordAck(instance, version)
	}
	s.tracker.RecordReleased(released)
	s.releaseVersions()
}

// recordContact records a response from a process whose own last contact with a quorum is the given time ago.
func (s *relayState) recordContact(now time.Time, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if contact := now.Add(-age); contact.After(s.lastContact) {
		s.lastContact = contact
	}
}

func (s *relayState) recordAccepted(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepted = max(s.accepted, version)
}

// newestVersions returns the newest held version, nil when there is none, and the number of the newest released one.
func (s *relayState) newestVersions() (*apiv1.Snapshot, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest, s.tracker.Released()
}

// isRelay reports whether this process is one of the relays.
func (s *relayState) isRelay() bool {
	return IsRelay(s.currentRelays(), s.instance)
}

func (s *relayState) setMembersComplete() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.membersComplete = true
}
