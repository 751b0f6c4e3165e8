package deployment

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Layout describes a deployment before it has addresses.
type Layout struct {
	Name     string
	Domains  []Domain
	Services []Service
	// ControlDomains lists the failure domain of each control instance.
	ControlDomains []string
	// Slots is the number of calls that a backend server runs at the same time.
	Slots int
	// Connections is the number of connections that a backend server accepts.
	Connections int
	// ProbeCost is the time that a health probe of a backend server takes.
	ProbeCost time.Duration
	// Work is the mean time that a call takes in its slot; zero leaves it to the backend server.
	Work time.Duration
	// DrainLinger is the time for which a stopping backend server still accepts calls.
	DrainLinger time.Duration
}

// drainLinger gives every node the time to hear that a backend server leaves.
const drainLinger = 2 * time.Second

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

// Route is a route as callers see it.
type Route struct {
	Name       string `json:"-"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	Service    string `json:"service"`
	Idempotent bool   `json:"idempotent"`
}

// FirstVersion is the version that every service starts with.
const FirstVersion = "v1"

// EnvLayout names the environment variable that chooses the layout.
const EnvLayout = "DEPLOYMENT"

// LayoutByName returns a layout; an empty name means Ploughline's.
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

// instanceName names the instance of a service's backend server and of the node beside it.
func instanceName(domain, service string, number int) string {
	return fmt.Sprintf("%s-%s-%d", domain, service, number)
}
