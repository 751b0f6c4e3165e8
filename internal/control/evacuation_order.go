package control

import (
	"fmt"
	"strconv"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/state"
	"samphireflow/internal/tree"
)

// evacuationOrder decides what an order to give or withdraw an evacuation does to a view. It is pure.
//
// Load pattern: during trouble an operator sends the same order to several control instances, and a slow one may still handle
// its copy after the order was withdrawn. An order takes effect only if no other one for the failure domain was accepted since
// it was first handled; a copy that was overtaken by a later order is refused and does not undo that.
type evacuationOrder struct {
	path     tree.Path
	withdraw bool
	// read is set once a current view was read, and since is the edit of the order in force then.
	read  bool
	since string
}

// newEvacuationOrder returns the order of a request. It returns false if the name is not one of a failure domain.
func newEvacuationOrder(request *apiv1.OrderEvacuationRequest) (*evacuationOrder, bool) {
	path, err := tree.ParsePath("/sites/" + request.FailureDomain)
	if err != nil || path.Level != tree.LevelSite {
		return nil, false
	}
	return &evacuationOrder{path: path, withdraw: request.Withdraw}, true
}

// decide returns the edit to propose, or the final answer, for a current view.
func (o *evacuationOrder) decide(view *state.View) (*apiv1.BranchEdit, *apiv1.OrderEvacuationResponse) {
	branch := view.Tree.Branch(o.path)
	since := orderInForce(branch)
	overtaken := o.read && since != o.since
	o.read, o.since = true, since
	switch {
	case branch.Evacuated() != o.withdraw:
		return nil, &apiv1.OrderEvacuationResponse{Outcome: apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED, Version: view.Version, RepeatedAnswer: true}
	case overtaken:
		return nil, &apiv1.OrderEvacuationResponse{
			Outcome: apiv1.EditOutcome_EDIT_OUTCOME_CONFLICT,
			Version: view.Version,
			Detail:  fmt.Sprintf("another order for failure domain %s came first", o.path.Site),
		}
	}
	edit := &apiv1.BranchEdit{Path: o.path.String(), Changes: []*apiv1.Change{{Key: tree.KeySiteEvacuated, Value: strconv.FormatBool(!o.withdraw)}}}
	if branch != nil {
		edit.BaseVersion = branch.Version
	}
	return edit, nil
}

// orderInForce identifies the newest order for a failure domain, empty before the first. A withdrawn evacuation leaves the
// value false, so that each order has a version.
func orderInForce(branch *tree.Branch) string {
	if branch == nil {
		return ""
	}
	for _, setting := range branch.Settings() {
		if setting.Key == tree.KeySiteEvacuated {
			return setting.EditId
		}
	}
	return ""
}
