package main

import (
	"fmt"
	"net/http"
	"time"
)

// Numbers of backends. One of seven is a share of 0.143, one of ten machines a share of 0.1.
const (
	bookingBackends = 7
	callingBackends = 3
)

// rota is a deployment with three control instances and ten nodes: seven beside backends of the service that is called, and one
// in each zone beside a backend of another service, where the callers are.
type rota struct {
	first   *Backend
	callers []*Machine
	route   Route
}

// startRota starts the deployment, and all backends but the heartbeats of the first one, which is in the first zone. It returns
// what kept it from starting.
func startRota(d *Deployment, firstID string) (*rota, string) {
	core := d.AddCore(0)
	d.AddCore(1)
	d.AddCore(2)
	r := &rota{route: Route{Name: "r-book", Host: "jepu9.example", Prefix: "/puka111/", Kind: "unsafe", TimeoutS: 1.2, TargetLatencyS: 0.4, Priority: 1, MaxAttempts: 2, Service: "reservas"}}
	var backends []*Backend
	for n := range bookingBackends {
		m := d.AddSidecar(n+1, n%len(zones), "reservas")
		backends = append(backends, NewBackend(m, fmt.Sprintf("i-bbbb%04d", n), 5*time.Millisecond))
	}
	r.first = backends[0]
	r.first.ID = firstID
	for n := range callingBackends {
		m := d.AddSidecar(bookingBackends+n+1, n%len(zones), "turnos")
		r.callers = append(r.callers, m)
		backends = append(backends, NewBackend(m, fmt.Sprintf("i-cccc%04d", n), 5*time.Millisecond))
	}
	if err := d.StartAll(); err != nil {
		return nil, fmt.Sprintf("start: %v", err)
	}
	for _, b := range backends {
		if err := b.Serve(); err != nil {
			return nil, fmt.Sprintf("backend: %v", err)
		}
		if b != r.first {
			b.Beat()
		}
	}
	if !d.PutFirstConfig(core, Config(1, []Route{r.route}, "reservas", "turnos"), 20*time.Second) {
		return nil, "the first configuration was not accepted"
	}
	if !d.AwaitReady(20 * time.Second) {
		return nil, "the nodes did not become ready"
	}
	return r, ""
}

// send lets the callers send bookings until stop is closed.
func (r *rota) send(clients *Clients, stop <-chan struct{}) {
	for _, via := range r.callers {
		clients.Stream(via, http.MethodPost, r.route.Host, r.route.Prefix, 25*time.Millisecond, 1200*time.Millisecond, stop)
	}
}
