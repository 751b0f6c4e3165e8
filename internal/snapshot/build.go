package snapshot

import (
	"slices"
	"strconv"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/state"
	"samphireflow/internal/tree"
)

// Build returns the snapshot of a view for one failure domain, with all settings resolved. The result shares data with
// the view and must not be modified.
func Build(view *state.View, failureDomain string) *apiv1.Snapshot {
	return NewBuilder(failureDomain).Build(view)
}

// assignmentsFor lists the assignments that nodes of a failure domain need: its own relays, and the claim holders of
// all failure domains.
func assignmentsFor(view *state.View, failureDomain string) []*apiv1.Assignment {
	var list []*apiv1.Assignment
	for _, assignment := range view.Assignments() {
		isRelay := assignment.Role == apiv1.AssignmentRole_ASSIGNMENT_ROLE_RELAY
		if !isRelay || assignment.FailureDomain == failureDomain {
			list = append(list, assignment)
		}
	}
	return list
}

func buildService(view *state.View, path tree.Path) *apiv1.ServiceConfig {
	scope := view.Tree.Scope(path)
	service := &apiv1.ServiceConfig{
		Name:     path.Service,
		Fallback: scope.Text(tree.KeyFallback),
		Settings: resolveSettings(scope, serviceKeys),
	}
	move := view.ActiveMove(path.Service)
	if move == nil {
		if version := view.ServiceVersion(path.Service); version != "" {
			service.Shares = []*apiv1.VersionShare{{Version: version, ShareBp: state.FullShare}}
		}
		return service
	}
	service.MoveId = move.Id
	service.Shares = []*apiv1.VersionShare{
		{Version: move.ToVersion, ShareBp: move.ShareBp},
		{Version: move.FromVersion, ShareBp: state.FullShare - move.ShareBp},
	}
	return service
}

func buildRoute(settings *tree.Tree, branch *tree.Branch, failureDomain string) *apiv1.RouteConfig {
	method, _ := branch.Get(tree.KeyRouteMethod)
	pattern, _ := branch.Get(tree.KeyRoutePath)
	scope := settings.Scope(branch.Path.ForSite(failureDomain))
	idempotent, _ := strconv.ParseBool(scope.Text(tree.KeyRouteIdempotent))
	keys := routeKeys
	if _, byHost := branch.Get(tree.KeyRouteHost); byHost {
		keys = append(slices.Clone(routeKeys), hostRouteKeys...)
	}
	return &apiv1.RouteConfig{
		Name:       branch.Path.Service + "/" + branch.Path.Route,
		Service:    branch.Path.Service,
		Method:     method,
		Path:       pattern,
		Idempotent: idempotent,
		RateLimit:  scope.Text(tree.KeyRateLimit),
		Settings:   resolveSettings(scope, keys),
	}
}

func buildResource(settings *tree.Tree, path tree.Path) *apiv1.ResourceConfig {
	return &apiv1.ResourceConfig{Name: path.Resource, Settings: resolveSettings(settings.Scope(path), resourceKeys)}
}

func buildCustomer(settings *tree.Tree, path tree.Path) *apiv1.CustomerConfig {
	return &apiv1.CustomerConfig{Name: path.Customer, Settings: resolveSettings(settings.Scope(path), customerKeys)}
}

// Keys of the settings that nodes use, by the entity whose configuration holds them.
var (
	serviceKeys = []string{
		tree.KeySpillThreshold, tree.KeySlowStart, tree.KeyEjectErrorRate, tree.KeyEjectMaxShare, tree.KeyEjectTime,
		tree.KeyQueueLength, tree.KeyCallerShare, tree.KeyDrainTimeout, tree.KeyMoveErrorMargin, tree.KeyMoveLatencyRatio,
		tree.KeyServiceHealthPath, tree.KeyServiceConnLimit, tree.KeyServiceColdStart, tree.KeyServiceColdRate,
	}
	routeKeys = []string{tree.KeyCallTimeout, tree.KeyRetryLimit, tree.KeyRetryBudget, tree.KeyClaimRetention}
	// hostRouteKeys are the additional keys of a route that is matched by host and path prefix.
	hostRouteKeys = []string{
		tree.KeyRouteHost, tree.KeyRoutePrefix, tree.KeyRouteSplit, tree.KeyRouteAttempts, tree.KeyRoutePriority, tree.KeyRouteObjective,
		tree.KeyRoutePublic, tree.KeyRouteLongResponses,
	}
	// callerKeys are the keys of the snapshot itself, which limit the requests of callers.
	callerKeys   = []string{tree.KeyCallerHeaderBytes, tree.KeyCallerBodyBytes, tree.KeyCallerHeaderTimeout, tree.KeyCallerIdleTimeout, tree.KeyCallerAuthenticated, tree.KeyAdmissionInnerCalls}
	resourceKeys = []string{tree.KeyResourceCallsRate, tree.KeyResourceBurst}
	customerKeys = []string{tree.KeyCustomerKeyDigests, tree.KeyCustomerPriority, tree.KeyCustomerRate, tree.KeyCustomerBurst}
	// inheritedRouteKeys are the keys of a route's configuration that its ancestors can set.
	inheritedRouteKeys = slices.Concat(routeKeys, hostRouteKeys, []string{tree.KeyRouteIdempotent, tree.KeyRateLimit})
)

// resolveSettings lists the values that are in effect in a scope for those of the keys that have one.
func resolveSettings(scope tree.Scope, keys []string) []*apiv1.Setting {
	list := make([]*apiv1.Setting, 0, len(keys))
	for _, key := range keys {
		if value, ok := scope.Resolve(key); ok {
			list = append(list, &apiv1.Setting{Key: key, Value: value.Value})
		}
	}
	return list
}
