package deployment

import (
	"strconv"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"samphireflow/internal/tree"
)

// document is a YAML document that the command-line tool applies.
type document struct {
	Branches yaml.MapSlice `yaml:"branches"`
}

// callTimeout is the call timeout that the first configuration sets at the root of the tree.
const callTimeout = "2s"

// firstConfiguration returns the YAML document with the configuration that a deployment starts with.
func firstConfiguration(layout Layout) ([]byte, error) {
	doc := document{Branches: yaml.MapSlice{{Key: "/", Value: yaml.MapSlice{{Key: tree.KeyCallTimeout, Value: callTimeout}}}}}
	for _, service := range layout.Services {
		path := tree.Path{Level: tree.LevelService, Service: service.Name}
		doc.add(path, yaml.MapItem{Key: tree.KeyServiceVersion, Value: service.Version})
		for _, route := range service.Routes {
			doc.addRoute(service.Name, route)
		}
	}
	text, err := yaml.Marshal(doc)
	return text, errors.Wrap(err, "encode the first configuration")
}

// add adds a branch with its settings.
func (d *document) add(path tree.Path, settings ...yaml.MapItem) {
	d.Branches = append(d.Branches, yaml.MapItem{Key: path.String(), Value: yaml.MapSlice(settings)})
}

func (d *document) addRoute(service string, route Route) {
	d.add(tree.Path{Level: tree.LevelRoute, Service: service, Route: route.Name},
		yaml.MapItem{Key: tree.KeyRouteMethod, Value: route.Method},
		yaml.MapItem{Key: tree.KeyRoutePath, Value: route.Path},
		yaml.MapItem{Key: tree.KeyRouteIdempotent, Value: strconv.FormatBool(route.Idempotent)},
	)
}
