package deployment

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Layout describes the failure domains, services and backend servers of a deployment, without addresses.
type Layout struct {
	Name     string
	Domains  []Domain
	Services []Service
	// ControlDomains lists the failure domain of each control instance.
	ControlDomains []string
	// Slots is the number of calls that a backend server runs concurrently.
	Slots int
	// Connections is the number of connections that a backend server accepts.
	Connections int
	// ProbeCost is the time that a backend server needs to answer a health probe.
	ProbeCost time.Duration
	// Work is the mean time for which a call occupies its slot; 0 means the default of the backend server.
	Work time.Duration
	// DrainLinger is the time for which a draining backend server still accepts calls.
	DrainLinger time.Duration
}

// defaultDrainLinger gives every node the time to learn that a backend server is draining.
const defaultDrainLinger = 2 * time.Second

// Domain is a failure domain.
type Domain struct {
	Name   string
	Region string
}

// Service is a service with its routes and the failure domains of its backend servers.
type Service struct {
	Name    string
	Version string
	Routes  []Route
	// ServerDomains lists the failure domain of each backend server.
	ServerDomains []string
}

// Route is a route of a service as callers see it.
type Route struct {
	Name       string `json:"-"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	Service    string `json:"service"`
	Idempotent bool   `json:"idempotent"`
}

// FirstVersion is the version that every service starts with.
const FirstVersion = "v1"

// EnvLayout names the environment variable that selects the layout.
const EnvLayout = "DEPLOYMENT"

// LayoutByName returns the layout with the given name; an empty name selects ploughline.
func LayoutByName(name string) (Layout, error) {
	switch name {
	case "", "ploughline":
		return Ploughline(), nil
	case "rota-cera":
		return RotaCera(), nil
	}
	return Layout{}, errors.Errorf("%s: %q is not one of ploughline, rota-cera", EnvLayout, name)
}

// Routes returns the routes of all services.
func (l *Layout) Routes() []Route {
	var routes []Route
	for _, service := range l.Services {
		for _, route := range service.Routes {
			route.Service = service.Name
			routes = append(routes, route)
		}
	}
	return routes
}

// regionOf returns the region of a failure domain.
func (l *Layout) regionOf(domain string) string {
	for _, d := range l.Domains {
		if d.Name == domain {
			return d.Region
		}
	}
	return ""
}

// instanceName returns the instance name of a backend server, which the node beside it shares.
func instanceName(domain, service string, number int) string {
	return fmt.Sprintf("%s-%s-%d", domain, service, number)
}
