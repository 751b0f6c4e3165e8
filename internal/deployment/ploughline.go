package deployment

import "net/http"

// Ploughline returns the deployment of Derwent Ploughline Franchising: four failure domains in two regions.
func Ploughline() Layout {
	four := []string{"hobart", "launceston", "devonport", "burnie"}
	return Layout{
		Name: "ploughline",
		Domains: []Domain{
			{Name: "hobart", Region: "south"},
			{Name: "launceston", Region: "south"},
			{Name: "devonport", Region: "north"},
			{Name: "burnie", Region: "north"},
		},
		Services: []Service{
			{
				Name: "rota-board", Version: FirstVersion, ServerDomains: append([]string{"hobart"}, four...),
				Routes: []Route{{Name: "lookup", Method: http.MethodGet, Path: "/rota/*", Idempotent: true}},
			},
			{
				Name: "shift-desk", Version: FirstVersion, ServerDomains: four,
				Routes: []Route{
					{Name: "book", Method: http.MethodPost, Path: "/shifts"},
					{Name: "list", Method: http.MethodGet, Path: "/shifts/*", Idempotent: true},
				},
			},
			{
				Name: "callout-hub", Version: FirstVersion, ServerDomains: append([]string{"burnie"}, four...),
				Routes: []Route{
					{Name: "confirm", Method: http.MethodPost, Path: "/callouts"},
					{Name: "read", Method: http.MethodGet, Path: "/callouts/*", Idempotent: true},
				},
			},
			{
				Name: "season-ledger", Version: FirstVersion, ServerDomains: four,
				Routes: []Route{
					{Name: "enter", Method: http.MethodPost, Path: "/season"},
					{Name: "read", Method: http.MethodGet, Path: "/season/*", Idempotent: true},
				},
			},
		},
		ControlDomains: []string{"hobart", "launceston", "devonport"},
		Slots:          10,
		Connections:    130,
		DrainLinger:    defaultDrainLinger,
	}
}
