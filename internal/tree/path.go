package tree

import (
	"regexp"
	"strings"

	"github.com/pkg/errors"
)

// Level is the depth of a branch, which determines the settings that it overrides.
type Level int

// The levels, from the top of the tree to the most specific one. A higher value overrides a lower one.
const (
	LevelGlobal Level = iota
	LevelSite
	LevelService
	LevelServiceSite
	LevelRoute
	LevelRouteSite
	// LevelResource does not take part in inheritance: a resource has only its own settings.
	LevelResource
	// LevelCustomer does not take part in inheritance either.
	LevelCustomer
)

// maxNameLength is the maximum length of the name of a service, route, site, resource or customer, in bytes.
const maxNameLength = 63

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// Path identifies one branch of the tree.
//
// The text forms are "/", "/sites/S", "/services/V", "/services/V/sites/S", "/services/V/routes/R",
// "/services/V/routes/R/sites/S", "/resources/N" and "/customers/C".
type Path struct {
	Level    Level
	Site     string
	Service  string
	Route    string
	Resource string
	Customer string
}

// ErrBadPath is wrapped by errors about text that is not a branch path.
var ErrBadPath = errors.New("not a branch path")

// ParsePath parses the text form of a path. Its errors wrap ErrBadPath.
func ParsePath(text string) (Path, error) {
	if text == "/" {
		return Path{Level: LevelGlobal}, nil
	}
	parts := strings.Split(strings.TrimPrefix(text, "/"), "/")
	if !strings.HasPrefix(text, "/") || len(parts)%2 != 0 {
		return Path{}, errors.Wrapf(ErrBadPath, "%q", text)
	}
	var path Path
	var shape []string
	for i := 0; i < len(parts); i += 2 {
		kind, name := parts[i], parts[i+1]
		if !validName(name) {
			return Path{}, errors.Wrapf(ErrBadPath, "%q: bad name %q", text, name)
		}
		shape = append(shape, kind)
		path.set(kind, name)
	}
	level, ok := levelOfShape(strings.Join(shape, "/"))
	if !ok {
		return Path{}, errors.Wrapf(ErrBadPath, "%q", text)
	}
	path.Level = level
	return path, nil
}

func validName(name string) bool {
	return len(name) <= maxNameLength && namePattern.MatchString(name)
}

func (p *Path) set(kind, name string) {
	switch kind {
	case "sites":
		p.Site = name
	case "services":
		p.Service = name
	case "routes":
		p.Route = name
	case "resources":
		p.Resource = name
	case "customers":
		p.Customer = name
	}
}

func levelOfShape(shape string) (Level, bool) {
	switch shape {
	case "sites":
		return LevelSite, true
	case "services":
		return LevelService, true
	case "services/sites":
		return LevelServiceSite, true
	case "services/routes":
		return LevelRoute, true
	case "services/routes/sites":
		return LevelRouteSite, true
	case "resources":
		return LevelResource, true
	case "customers":
		return LevelCustomer, true
	}
	return 0, false
}

// String returns the text form of the path, as ParsePath accepts it.
func (p Path) String() string {
	switch p.Level {
	case LevelSite:
		return "/sites/" + p.Site
	case LevelService:
		return "/services/" + p.Service
	case LevelServiceSite:
		return "/services/" + p.Service + "/sites/" + p.Site
	case LevelRoute:
		return "/services/" + p.Service + "/routes/" + p.Route
	case LevelRouteSite:
		return "/services/" + p.Service + "/routes/" + p.Route + "/sites/" + p.Site
	case LevelResource:
		return "/resources/" + p.Resource
	case LevelCustomer:
		return "/customers/" + p.Customer
	}
	return "/"
}

// Lineage returns the paths whose settings apply at p, from the least to the most specific. If p has no site, the list
// includes no site branches.
func (p Path) Lineage() []Path {
	if p.Level == LevelResource || p.Level == LevelCustomer {
		return []Path{p}
	}
	lineage := []Path{{Level: LevelGlobal}}
	if p.Site != "" {
		lineage = append(lineage, Path{Level: LevelSite, Site: p.Site})
	}
	if p.Service == "" {
		return lineage
	}
	lineage = append(lineage, Path{Level: LevelService, Service: p.Service})
	if p.Site != "" {
		lineage = append(lineage, Path{Level: LevelServiceSite, Service: p.Service, Site: p.Site})
	}
	if p.Route == "" {
		return lineage
	}
	lineage = append(lineage, Path{Level: LevelRoute, Service: p.Service, Route: p.Route})
	if p.Site != "" {
		lineage = append(lineage, Path{Level: LevelRouteSite, Service: p.Service, Route: p.Route, Site: p.Site})
	}
	return lineage
}

// parent returns the path of the branch that must exist before p: the service of a route, or the service or route that
// a site branch overrides. Global, site, service, resource and customer branches have no
// parent.
func (p Path) parent() (Path, bool) {
	switch p.Level {
	case LevelServiceSite, LevelRoute:
		return Path{Level: LevelService, Service: p.Service}, true
	case LevelRouteSite:
		return Path{Level: LevelRoute, Service: p.Service, Route: p.Route}, true
	}
	return Path{}, false
}

// ForSite returns the path with the same service and route for one site.
func (p Path) ForSite(site string) Path {
	at := p
	at.Site = site
	switch p.Level {
	case LevelGlobal:
		at.Level = LevelSite
	case LevelService:
		at.Level = LevelServiceSite
	case LevelRoute:
		at.Level = LevelRouteSite
	}
	return at
}
