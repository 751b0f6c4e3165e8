package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// lostAfter is the time after its start at which a machine of the core is gone for good.
	lostAfter = 5 * time.Millisecond
	// emptyAfter is the time after which an empty one comes at another address.
	emptyAfter = time.Second
	// firstConfigTime is the time for which the first configuration is sent again until it is accepted.
	firstConfigTime = 60 * time.Second
)

// firstStart: the deployment starts for the first time, and one of its three machines of the core is lost for good as it starts.
// An empty one comes a second later at another address. The operator sends the first configuration until it is accepted.
func firstStart(d *Deployment, trouble bool) int {
	cores := []*Machine{d.AddCore(0), d.AddCore(1), d.AddCore(2)}
	var sides []*Machine
	for zone := range zones {
		sides = append(sides, d.AddSidecar(1, zone, "reservas"))
	}
	// The machine that is lost starts last.
	for _, m := range append(append([]*Machine{cores[0], cores[1]}, sides...), cores[2]) {
		if err := m.StartFirst(); err != nil {
			return verdict(d, exitNotRun, "start: %v", err)
		}
	}
	running := cores
	if trouble {
		time.Sleep(lostAfter)
		cores[2].Kill()
		running = cores[:2]
		time.AfterFunc(emptyAfter, func() {
			// The list of the operator names the machines that serve control now.
			empty := d.addNamed("core-centro-c-2", 2)
			d.seeds = []string{cores[0].Addr(portAnnounce), cores[1].Addr(portAnnounce), empty.Addr(portAnnounce)}
			if err := empty.Start(); err != nil {
				d.record.Note("start of the empty machine: %v", err)
			}
		})
	}
	var backends []*Backend
	for i, m := range sides {
		b := NewBackend(m, fmt.Sprintf("i-%d", i), 5*time.Millisecond)
		if err := b.Serve(); err != nil {
			return verdict(d, exitNotRun, "backend: %v", err)
		}
		b.Beat()
		backends = append(backends, b)
	}
	route := Route{Name: "r-book", Host: "jepu9.example", Prefix: "/puka111/", Kind: "unsafe", TimeoutS: 1.2, TargetLatencyS: 0.4, Priority: 1, MaxAttempts: 2, Service: "reservas"}
	body := Config(1, []Route{route}, "reservas")
	clients, began, tries := NewClients(d), time.Now(), 0
	accepted := time.Duration(0)
	for n := 0; time.Since(began) < firstConfigTime; n++ {
		tries++
		if d.PutConfig(running[n%len(running)], 0, body) == http.StatusOK {
			accepted = time.Since(began)
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	served := 0
	for n := range 40 {
		sent := clients.Send(sides[n%len(sides)], http.MethodPost, route.Host, fmt.Sprintf("%s%x", route.Prefix, n), "", 1200*time.Millisecond)
		if sent.Status == http.StatusOK {
			served++
		}
		time.Sleep(100 * time.Millisecond)
	}
	if accepted == 0 {
		return verdict(d, exitBroken, "the first configuration, sent %d times in %.0f s to the two machines that run, was never accepted; %d of 40 requests were served", tries, firstConfigTime.Seconds(), served)
	}
	if served == 0 {
		return verdict(d, exitBroken, "no request was served")
	}
	return verdict(d, exitHeld, "the first configuration was accepted after %.1f s; %d of 40 requests were served", accepted.Seconds(), served)
}
