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
	mu sync.Mutex
	// histories holds the snapshots of each failure domain.
	histories map[string]*distribution.History
	// recordBuild receives the time that building a snapshot took.
	recordBuild func(took time.Duration)
}

func newSnapshotBuilder(recordBuild func(took time.Duration)) *snapshotBuilder {
	return &snapshotBuilder{recordBuild: recordBuild, histories: map[string]*distribution.History{}}
}

// history returns the snapshots of a failure domain up to the version of a view. It leaves out a snapshot that fails the
// check, with an error, so that watchers keep the one before.
func (b *snapshotBuilder) history(view *state.View, failureDomain string) (*distribution.History, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	history := b.histories[failureDomain]
	if history == nil {
		history = distribution.NewHistory()
		b.histories[failureDomain] = history
	}
	if newest := history.Newest(); newest != nil && newest.Version >= view.Version {
		return history, nil
	}
	started := time.Now()
	defer func() { b.recordBuild(time.Since(started)) }()
	snap := snapshot.Build(view, failureDomain)
	if err := snapshot.Check(snap); err != nil {
		return history, err
	}
	history.Put(snap)
	return history, nil
}
