package snapshot

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
)

// entity is a named part of a snapshot: a service, a route, a resource or a customer.
type entity interface {
	proto.Message
	GetName() string
}

// Diff returns the delta from one snapshot of a failure domain to a later one. The entities of both must be sorted by name,
// the canonical order of a snapshot.
func Diff(from, to *apiv1.Snapshot) *apiv1.Delta {
	delta := &apiv1.Delta{FromVersion: from.Version, Version: to.Version, Term: to.Term, Digest: to.Digest}
	delta.Services, delta.RemovedServices = diffEntities(from.Services, to.Services)
	delta.Routes, delta.RemovedRoutes = diffEntities(from.Routes, to.Routes)
	delta.Resources, delta.RemovedResources = diffEntities(from.Resources, to.Resources)
	delta.Customers, delta.RemovedCustomers = diffEntities(from.Customers, to.Customers)
	delta.Assignments = diffAssignments(from.Assignments, to.Assignments)
	delta.Settings = to.Settings
	delta.EvacuatedDomains = to.EvacuatedDomains
	return delta
}

// diffEntities returns the entities that changed or were added, and the names of those that were removed, both sorted.
func diffEntities[E entity](from, to []E) (changed []E, removed []string) {
	eachPair(from, to, func(before E, inFrom bool, after E, inTo bool) {
		switch {
		case !inTo:
			removed = append(removed, before.GetName())
		case !inFrom || !sameEntity(before, after):
			changed = append(changed, after)
		}
	})
	return changed, removed
}

// sameEntity compares two entities. Unchanged entities are mostly shared between versions, which makes comparing cheap.
func sameEntity[E entity](a, b E) bool {
	return any(a) == any(b) || proto.Equal(a, b)
}

// eachPair visits the entities of two sorted lists by name, together where both lists have one.
func eachPair[E entity](from, to []E, visit func(before E, inFrom bool, after E, inTo bool)) {
	var none E
	i, j := 0, 0
	for i < len(from) || j < len(to) {
		order := 0
		switch {
		case i == len(from):
			order = 1
		case j == len(to):
			order = -1
		case any(from[i]) != any(to[j]):
			order = strings.Compare(from[i].GetName(), to[j].GetName())
		}
		switch {
		case order < 0:
			visit(from[i], true, none, false)
			i++
		case order > 0:
			visit(none, false, to[j], true)
			j++
		default:
			visit(from[i], true, to[j], true)
			i, j = i+1, j+1
		}
	}
}

// Apply applies a delta to a snapshot and returns the result; the given snapshot does not change. The error wraps
// ErrBadSnapshot when the delta does not start at the version of the snapshot or the result does not pass Check, which
// includes the delta's digest.
func Apply(from *apiv1.Snapshot, delta *apiv1.Delta) (*apiv1.Snapshot, error) {
	return (&Digester{}).Apply(from, delta)
}

// Apply does the same as the function Apply.
func (d *Digester) Apply(from *apiv1.Snapshot, delta *apiv1.Delta) (*apiv1.Snapshot, error) {
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
		Customers:     applyEntities(from.Customers, delta.Customers, delta.RemovedCustomers),
		Assignments:   applyAssignments(from.Assignments, delta.Assignments),
		Settings:      delta.Settings,
		Digest:        delta.Digest,

		EvacuatedDomains: delta.EvacuatedDomains,
	}
	return next, d.Check(next)
}

// applyEntities returns the entities with the changes and removals applied, in canonical order.
func applyEntities[E entity](from, changed []E, removed []string) []E {
	if len(changed) == 0 && len(removed) == 0 {
		return from
	}
	gone := make(map[string]bool, len(removed))
	for _, name := range removed {
		gone[name] = true
	}
	changed = slices.Clone(changed)
	sortEntities(changed)
	list := make([]E, 0, len(from)+len(changed))
	eachPair(from, changed, func(before E, _ bool, after E, isChanged bool) {
		if !isChanged {
			after = before
		}
		if !gone[after.GetName()] {
			list = append(list, after)
		}
	})
	return list
}

// ShareUnchanged returns a copy of the later of two snapshots that shares the unchanged entities with the earlier one,
// so that many versions in memory take little more space than one.
func ShareUnchanged(from, to *apiv1.Snapshot) *apiv1.Snapshot {
	shared := &apiv1.Snapshot{Version: to.Version, Term: to.Term, FailureDomain: to.FailureDomain, Assignments: to.Assignments, Settings: to.Settings, Digest: to.Digest, EvacuatedDomains: to.EvacuatedDomains}
	shared.Services = shareUnchangedEntities(from.Services, to.Services)
	shared.Routes = shareUnchangedEntities(from.Routes, to.Routes)
	shared.Resources = shareUnchangedEntities(from.Resources, to.Resources)
	shared.Customers = shareUnchangedEntities(from.Customers, to.Customers)
	return shared
}

// shareUnchangedEntities returns the later of two lists with the unchanged entities of the earlier one. It returns one of
// the two lists itself where that is the same.
func shareUnchangedEntities[E entity](from, to []E) []E {
	list := make([]E, 0, len(to))
	eachPair(from, to, func(before E, inFrom bool, after E, inTo bool) {
		switch {
		case !inTo:
		case inFrom && sameEntity(before, after):
			list = append(list, before)
		default:
			list = append(list, after)
		}
	})
	for _, same := range [][]E{from, to} {
		if slices.EqualFunc(list, same, func(a, b E) bool { return any(a) == any(b) }) {
			return same
		}
	}
	return list
}

// ChangedBytes returns the encoded size of the entities of the later of two snapshots that the earlier one does not have,
// and the size of those that only the earlier one has. A changed entity counts on both sides. The later snapshot must share
// the unchanged entities with the earlier one; see ShareUnchanged.
func ChangedBytes(from, to *apiv1.Snapshot) (added, removed int) {
	for _, sizes := range [][2]int{
		changedEntityBytes(from.Services, to.Services),
		changedEntityBytes(from.Routes, to.Routes),
		changedEntityBytes(from.Resources, to.Resources),
		changedEntityBytes(from.Customers, to.Customers),
	} {
		added += sizes[0]
		removed += sizes[1]
	}
	return added, removed
}

func changedEntityBytes[E entity](from, to []E) (sizes [2]int) {
	eachPair(from, to, func(before E, inFrom bool, after E, inTo bool) {
		if inFrom && inTo && any(before) == any(after) {
			return
		}
		if inTo {
			sizes[0] += proto.Size(after)
		}
		if inFrom {
			sizes[1] += proto.Size(before)
		}
	})
	return sizes
}

func sortEntities[E entity](list []E) {
	slices.SortFunc(list, func(a, b E) int { return strings.Compare(a.GetName(), b.GetName()) })
}
