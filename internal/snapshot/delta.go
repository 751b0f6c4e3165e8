package snapshot

import (
	"sort"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
)

// entity is a named part of a snapshot: a service, a route or a resource.
type entity interface {
	proto.Message
	GetName() string
}

// Diff returns the delta from one snapshot of a failure domain to a later one.
func Diff(from, to *apiv1.Snapshot) *apiv1.Delta {
	delta := &apiv1.Delta{FromVersion: from.Version, Version: to.Version, Term: to.Term, Digest: to.Digest}
	delta.Services, delta.RemovedServices = diffEntities(from.Services, to.Services)
	delta.Routes, delta.RemovedRoutes = diffEntities(from.Routes, to.Routes)
	delta.Resources, delta.RemovedResources = diffEntities(from.Resources, to.Resources)
	delta.Assignments = diffAssignments(from.Assignments, to.Assignments)
	delta.Settings = to.Settings
	return delta
}

// diffEntities returns the entities that changed or were added, and the names of those that were removed.
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

// Apply applies a delta to a snapshot and returns the result; the given snapshot does not change. The error wraps
// ErrBadSnapshot when the delta does not start at the version of the snapshot or the result does not pass Check, which
// includes the delta's digest.
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

// applyEntities returns the entities with the changes and removals applied. They stay sorted by name, the canonical
// order of a snapshot.
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

// ShareUnchanged returns a copy of the later of two snapshots that shares the unchanged entities with the earlier one,
// so that many versions in memory take little more space than one.
func ShareUnchanged(from, to *apiv1.Snapshot) *apiv1.Snapshot {
	shared := &apiv1.Snapshot{Version: to.Version, Term: to.Term, FailureDomain: to.FailureDomain, Assignments: to.Assignments, Settings: to.Settings, Digest: to.Digest}
	shared.Services = shareUnchangedEntities(from.Services, to.Services)
	shared.Routes = shareUnchangedEntities(from.Routes, to.Routes)
	shared.Resources = shareUnchangedEntities(from.Resources, to.Resources)
	return shared
}

func shareUnchangedEntities[E entity](from, to []E) []E {
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
