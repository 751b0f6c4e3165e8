package state

import (
	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/tree"
)

// This file holds the checks of proposals that are not part of the execution of a command. See tree.PlaceFaults.

// DocumentFaults returns the faults of a document that are known before it is proposed. They do not depend on the state.
func DocumentFaults(request *apiv1.PublishRequest) []*apiv1.Fault {
	faults := request.Faults
	body, err := unpackBody(request)
	if err != nil {
		// The execution of the command refuses it with the reason.
		return faults
	}
	return append(faults[:len(faults):len(faults)], tree.PlaceFaultsOf(body.Branches)...)
}

// EditFaults returns the faults that an edit would bring into the routes of a view.
func EditFaults(view *View, request *apiv1.EditRequest) []*apiv1.Fault {
	next, _, _ := view.Tree.Apply(request, view.Version+1)
	return newPlaceFaults(view.Tree, next)
}

// EditsPlaces reports whether an edit changes the host or the prefix of a route.
func EditsPlaces(request *apiv1.EditRequest) bool {
	for _, branch := range request.Branches {
		for _, change := range branch.Changes {
			if change.Key == tree.KeyRouteHost || change.Key == tree.KeyRoutePrefix {
				return true
			}
		}
	}
	return false
}

// RevertFaults returns the faults that a revert would bring into the routes of a view.
func RevertFaults(view *View, request *apiv1.RevertRequest) []*apiv1.Fault {
	target, _ := view.TreeAt(request.ToVersion)
	return newPlaceFaults(view.Tree, target)
}

// newPlaceFaults returns the faults of a tree that the one before does not have. A nil tree has none: it is refused for other
// reasons. Faults of state that an earlier release has accepted do not stand in the way of other changes.
func newPlaceFaults(before, next *tree.Tree) []*apiv1.Fault {
	if next == nil {
		return nil
	}
	faults := next.PlaceFaults()
	if len(faults) == 0 {
		return nil
	}
	type key struct{ path, key, message string }
	keyOf := func(f *apiv1.Fault) key { return key{f.Path, f.Key, f.Message} }
	known := map[key]bool{}
	for _, fault := range before.PlaceFaults() {
		known[keyOf(fault)] = true
	}
	var added []*apiv1.Fault
	for _, fault := range faults {
		if !known[keyOf(fault)] {
			added = append(added, fault)
		}
	}
	return added
}
