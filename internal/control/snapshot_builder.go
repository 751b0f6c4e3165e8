package control

import (
	"sync"
	"time"

	"samphireflow/internal/distribution"
	"samphireflow/internal/snapshot"
	"samphireflow/internal/state"
)

// snapshotBuilder builds the snapshot of each failure domain, once per configuration version.
type snapshotBuilder struct {
	mu      sync.Mutex
	domains map[string]*domainSnapshots
	// recordBuild receives the time that building a snapshot took.
	recordBuild func(version uint64, took time.Duration)
}

// domainSnapshots holds the snapshots of one failure domain.
type domainSnapshots struct {
	builder *snapshot.Builder
	history *distribution.History
}

func newSnapshotBuilder(recordBuild func(version uint64, took time.Duration)) *snapshotBuilder {
	return &snapshotBuilder{recordBuild: recordBuild, domains: map[string]*domainSnapshots{}}
}

// history returns the snapshots of a failure domain up to the version of a view. It leaves out a snapshot that fails the
// check, with an error, so that watchers keep the one before.
func (b *snapshotBuilder) history(view *state.View, failureDomain string) (*distribution.History, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	domain := b.domains[failureDomain]
	if domain == nil {
		domain = &domainSnapshots{builder: snapshot.NewBuilder(failureDomain), history: distribution.NewHistory()}
		b.domains[failureDomain] = domain
	}
	history := domain.history
	if newest := history.Newest(); newest != nil && newest.Version >= view.Version {
		return history, nil
	}
	started := time.Now()
	defer func() { b.recordBuild(view.Version, time.Since(started)) }()
	snap := domain.builder.Build(view)
	if err := domain.builder.Check(snap); err != nil {
		return history, err
	}
	history.Put(snap)
	return history, nil
}
