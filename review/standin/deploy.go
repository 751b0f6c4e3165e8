package main

import "time"

// Services of the deployment.
const (
	calendar = "calendario"
	shifts   = "turnos"
)

// zones are the failure domains.
var zones = []string{"centro-a", "centro-b", "centro-c"}

// startSmall starts three core machines and the given number of sidecar machines of each service, and waits until a first
// configuration is acknowledged and all sidecar machines are ready.
func (w *world) startSmall(perService map[string]int, order []string, first string) (*operator, []*machine) {
	for _, zone := range zones {
		w.addMachine("core-"+zone, zone, "")
	}
	var sides []*machine
	for _, service := range order {
		for i := range perService[service] {
			zone := zones[i%len(zones)]
			sides = append(sides, w.addMachine("sidecar-"+service+"-"+string(rune('1'+i)), zone, service))
		}
	}
	w.startAll()
	o := newOperator(w)
	if status := o.put(0, first, 20*time.Second); status != 200 {
		w.fail("the first configuration got status %d", status)
	}
	w.logf("PUT /-/config version 1 -> 200")
	for _, m := range sides {
		m.awaitReady(20 * time.Second)
	}
	for _, m := range w.machines {
		m.writeSettings(false)
	}
	return o, sides
}
