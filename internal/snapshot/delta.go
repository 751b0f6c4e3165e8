package snapshot

import (
	"sort"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
)

// entity is what a snapshot holds many of, each under a name of its own.
type entity interface {
	proto.Message
	GetName() string
}

// Diff returns the delta that turns one snapshot of a failure domain into a later one.
func Diff(from, to *apiv1.Snapshot) *apiv1.Delta {
	delta := &apiv1.Delta{FromVersion: from.Version, Version: to.Version, Term: to.Term, Digest: to.Digest}
	delta.Services, delta.RemovedServices = diffEntities(from.Services, to.Services)
	delta.Routes, delta.RemovedRoutes = diffEntities(from.Routes, to.Routes)
	delta.Resources, delta.RemovedResources = diffEntities(from.Resources, to.Resources)
	delta.Assignments = diffAssignments(from.Assignments, to.Assignments)
	delta.Settings = to.Settings
	return delta
}

func diffEntities[E entity](from, to []E) (changed []E, removed []string) {
	old := make(map[string]E, len(from))
	for _, e := range from {
		old[e.GetName()] = e
	}
	for _, e := range to {
		before, ok := old[e.GetName()]
		if !ok || any(before) != any(e) && !proto.Equal(before, e) {
			changed = append(changed, e)
		}
		delete(old, e.GetName())
	}
	for name := range old {
		removed = append(removed, name)
	}
	sort.Strings(removed)
	return changed, removed
}

// Apply returns the snapshot that a delta leads to. It returns an error that wraps ErrBadSnapshot when the delta
// does not start at the snapshot or the result does not match the delta's digest; the snapshot is unchanged.
func Apply(from *apiv1.Snapshot, delta *apiv1.Delta) (*apiv1.Snapshot, error) {
	if from.Version != delta.FromVersion {
		return nil, errors.Wrapf(ErrBadSnapshot, "delta from version %d does not start at version %d", delta.FromVersion, from.Version)
	}
	next := &apiv1.Snapshot{
		Version:       delta.Version,
		Term:          delta.Term,
		FailureDomain: from.FailureDomain,
		Services:      applyEntities(from.Services, delta.Services, delta.RemovedServices),
		Routes:        applyEntities(from.Routes, delta.Routes, delta.RemovedRoutes),
		Resources:     applyEntities(from.Resources, delta.Resources, delta.RemovedResources),
		Assignments:   applyAssignments(from.Assignments, delta.Assignments),
		Settings:      delta.Settings,
		Digest:        delta.Digest,
	}
	return next, Check(next)
}

// applyEntities keeps the order by name, the canonical order of a snapshot.
func applyEntities[E entity](from, changed []E, removed []string) []E {
	byName := make(map[string]E, len(from)+len(changed))
	for _, e := range from {
		byName[e.GetName()] = e
	}
	for _, e := range changed {
		byName[e.GetName()] = e
	}
	for _, name := range removed {
		delete(byName, name)
	}
	list := make([]E, 0, len(byName))
	for _, e := range byName {
		list = append(list, e)
	}
	sortEntities(list)
	return list
}

// ShareUnchanged returns the later of two snapshots with the parts that did not change taken from the earlier one, so that
// many versions in memory cost little more than one.
func ShareUnchanged(from, to *apiv1.Snapshot) *apiv1.Snapshot {
	shared := &apiv1.Snapshot{Version: to.Version, Term: to.Term, FailureDomain: to.FailureDomain, Assignments: to.Assignments, Settings: to.Settings, Digest: to.Digest}
	shared.Services = shareEntities(from.Services, to.Services)
	shared.Routes = shareEntities(from.Routes, to.Routes)
	shared.Resources = shareEntities(from.Resources, to.Resources)
	return shared
}

func shareEntities[E entity](from, to []E) []E {
	old := make(map[string]E, len(from))
	for _, e := range from {
		old[e.GetName()] = e
	}
	list := make([]E, len(to))
	for i, e := range to {
		list[i] = e
		if before, ok := old[e.GetName()]; ok && proto.Equal(before, e) {
			list[i] = before
		}
	}
	return list
}

func sortEntities[E entity](list []E) {
	sort.Slice(list, func(i, j int) bool { return list[i].GetName() < list[j].GetName() })
}
