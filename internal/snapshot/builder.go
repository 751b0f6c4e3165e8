package snapshot

import (
	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/state"
	"samphireflow/internal/tree"
)

// Builder builds the snapshots of successive views for one failure domain. The time that it takes depends on what changed
// since the view before: routes are taken over unless a branch that applies to them has changed. A Builder is not safe for
// concurrent use.
type Builder struct {
	failureDomain string
	digester      Digester
	// settings is the tree of the last view, and snap its snapshot.
	settings *tree.Tree
	snap     *apiv1.Snapshot
	// routes holds the routes of snap by their branch.
	routes map[*tree.Branch]builtRoute
}

// builtRoute is a route with the branch of the failure domain that overrides its settings, if there is one.
type builtRoute struct {
	override *tree.Branch
	config   *apiv1.RouteConfig
}

// NewBuilder returns a builder for one failure domain.
func NewBuilder(failureDomain string) *Builder {
	return &Builder{failureDomain: failureDomain, settings: tree.New(), snap: &apiv1.Snapshot{}}
}

// Build returns the snapshot of a view, with all settings resolved. The result shares data with the view and with earlier
// snapshots and must not be modified.
func (b *Builder) Build(view *state.View) *apiv1.Snapshot {
	snap := &apiv1.Snapshot{Version: view.Version, Term: view.Term, FailureDomain: b.failureDomain}
	for _, branch := range view.Tree.AtLevel(tree.LevelService) {
		snap.Services = append(snap.Services, buildService(view, branch.Path.ForSite(b.failureDomain)))
	}
	for _, branch := range view.Tree.AtLevel(tree.LevelResource) {
		snap.Resources = append(snap.Resources, buildResource(view.Tree, branch.Path))
	}
	for _, branch := range view.Tree.AtLevel(tree.LevelCustomer) {
		snap.Customers = append(snap.Customers, buildCustomer(view.Tree, branch.Path))
	}
	sortEntities(snap.Services)
	sortEntities(snap.Resources)
	sortEntities(snap.Customers)
	snap.Services = shareUnchangedEntities(b.snap.Services, snap.Services)
	snap.Resources = shareUnchangedEntities(b.snap.Resources, snap.Resources)
	snap.Customers = shareUnchangedEntities(b.snap.Customers, snap.Customers)
	snap.Routes = shareUnchangedEntities(b.snap.Routes, b.buildRoutes(view.Tree))
	snap.EvacuatedDomains = view.Tree.EvacuatedDomains()
	snap.Assignments = assignmentsFor(view, b.failureDomain)
	global := view.Tree.Scope(tree.Path{Level: tree.LevelGlobal}.ForSite(b.failureDomain))
	snap.Settings = resolveSettings(global, callerKeys)
	snap.Digest = b.digester.Digest(snap)
	b.settings, b.snap = view.Tree, snap
	return snap
}

// Check verifies a snapshot that this builder has built; see the function Check.
func (b *Builder) Check(snap *apiv1.Snapshot) error {
	return b.digester.Check(snap)
}

func (b *Builder) buildRoutes(settings *tree.Tree) []*apiv1.RouteConfig {
	branches := settings.AtLevel(tree.LevelRoute)
	overrides := b.overrides(settings)
	inheritsSame := b.inheritance(settings)
	routes := make(map[*tree.Branch]builtRoute, len(branches))
	list := make([]*apiv1.RouteConfig, 0, len(branches))
	for _, branch := range branches {
		override := overrides[branch.Path.ForSite(b.failureDomain)]
		route, known := b.routes[branch]
		if !known || route.override != override || !inheritsSame(branch.Path.Service) {
			route = builtRoute{override, buildRoute(settings, branch, b.failureDomain)}
		}
		routes[branch] = route
		list = append(list, route.config)
	}
	b.routes = routes
	sortEntities(list)
	return list
}

// overrides returns the branches that override settings of single routes in the failure domain.
func (b *Builder) overrides(settings *tree.Tree) map[tree.Path]*tree.Branch {
	overrides := map[tree.Path]*tree.Branch{}
	for _, branch := range settings.AtLevel(tree.LevelRouteSite) {
		if branch.Path.Site == b.failureDomain {
			overrides[branch.Path] = branch
		}
	}
	return overrides
}

// inheritance returns a function that reports whether the routes of a service inherit the same settings from a tree as from
// that of the last view.
func (b *Builder) inheritance(settings *tree.Tree) func(service string) bool {
	unchanged := func(path tree.Path) bool {
		return tree.SameValues(b.settings.Branch(path), settings.Branch(path), inheritedRouteKeys)
	}
	global := tree.Path{Level: tree.LevelGlobal}
	allSame := unchanged(global) && unchanged(global.ForSite(b.failureDomain))
	byService := map[string]bool{}
	return func(service string) bool {
		same, known := byService[service]
		if !known {
			path := tree.Path{Level: tree.LevelService, Service: service}
			same = allSame && unchanged(path) && unchanged(path.ForSite(b.failureDomain))
			byService[service] = same
		}
		return same
	}
}
