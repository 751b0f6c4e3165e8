package deployment

import (
	"net/http"
	"time"
)

// RotaCera returns the deployment of the Asociación Mexicana de Enceradores de Estatuas: three failure domains in one
// region.
func RotaCera() Layout {
	three := []string{"centro", "oriente", "poniente"}
	return Layout{
		Name: "rota-cera",
		Domains: []Domain{
			{Name: "centro", Region: "centro"},
			{Name: "oriente", Region: "centro"},
			{Name: "poniente", Region: "centro"},
		},
		Services: []Service{
			{
				Name: "shift-viewing", Version: FirstVersion, ServerDomains: append([]string{"centro"}, three...),
				Routes: []Route{{Name: "check", Method: http.MethodGet, Path: "/assignments/*", Idempotent: true}},
			},
			{
				Name: "plaza-booking", Version: FirstVersion, ServerDomains: append([]string{"oriente"}, three...),
				Routes: []Route{
					{Name: "book", Method: http.MethodPost, Path: "/plazas"},
					{Name: "list", Method: http.MethodGet, Path: "/plazas/*", Idempotent: true},
				},
			},
			{
				Name: "cancellation", Version: FirstVersion, ServerDomains: three,
				Routes: []Route{
					{Name: "cancel", Method: http.MethodPost, Path: "/cancellations"},
					{Name: "read", Method: http.MethodGet, Path: "/cancellations/*", Idempotent: true},
				},
			},
			{
				Name: "season-calendar", Version: FirstVersion, ServerDomains: three,
				Routes: []Route{{Name: "pull", Method: http.MethodGet, Path: "/calendar/*", Idempotent: true}},
			},
		},
		ControlDomains: three,
		Slots:          12,
		Connections:    130,
		DrainLinger:    defaultDrainLinger,
		ProbeCost:      6 * time.Millisecond,
	}
}
