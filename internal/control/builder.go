package control

import (
	"sync"

	"samphireflow/internal/distribution"
	"samphireflow/internal/snapshot"
	"samphireflow/internal/state"
)

// builder makes each failure domain's snapshot once a version.
type builder struct {
	mu      sync.Mutex
	domains map[string]*distribution.History
}

func newBuilder() *builder {
	return &builder{domains: map[string]*distribution.History{}}
}

// history returns the versions of a failure domain, brought up to a view. A version whose references do not hold is
// left out: the watchers keep the one before.
func (b *builder) history(view *state.View, failureDomain string) (*distribution.History, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	history := b.domains[failureDomain]
	if history == nil {
		history = distribution.NewHistory()
		b.domains[failureDomain] = history
	}
	if newest := history.Newest(); newest != nil && newest.Version >= view.Version {
		return history, nil
	}
	snap := snapshot.Build(view, failureDomain)
	if err := snapshot.Check(snap); err != nil {
		return history, err
	}
	history.Put(snap)
	return history, nil
}
