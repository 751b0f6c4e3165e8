package main

import (
	"net/http"
	"time"
)

// Times of the case, from the moment T of the kill.
const (
	oldPingAt   = 1100 * time.Millisecond
	leaveAt     = 1350 * time.Millisecond
	latePingAt  = 2 * time.Second
	vainDown    = 800 * time.Millisecond
	crashBefore = 4 * time.Second
)

// vainDelete: a backend has crashed and another boot has taken its place. The node beside them is killed and started again. The
// first message that it gets is a ping of the crashed boot, which a partition had delayed; then the new boot leaves with a DELETE,
// which the node acknowledges; then a late ping of the new boot arrives. The backend must get no new work.
func vainDelete(d *Deployment, trouble bool) int {
	rota, problem := startRota(d, "i-aaaa0001")
	if problem != "" {
		return verdict(d, exitNotRun, "%s", problem)
	}
	crashed, node := rota.first, rota.first.machine
	crashed.Beat()
	time.Sleep(2 * time.Second)
	clients, stop := NewClients(d), make(chan struct{})
	rota.send(clients, stop)
	// The crash, and another boot two seconds later.
	crashed.StopBeat()
	time.Sleep(100 * time.Millisecond)
	oldPing := crashed.NewPing("ready")
	d.record.Note("ping %d of %s is made; a partition delays it", oldPing.seq, crashed.ID)
	crashed.Exit()
	d.record.Note("crash of %s", crashed.ID)
	time.Sleep(2 * time.Second)
	leaving := NewBackend(node, "i-eeee0005", 5*time.Millisecond)
	if err := leaving.Serve(); err != nil {
		return verdict(d, exitNotRun, "backend: %v", err)
	}
	for end := time.Now().Add(crashBefore); time.Now().Before(end); time.Sleep(heartbeatInterval) {
		leaving.NewPing("ready").Send()
	}
	late := leaving.NewPing("ready")
	killed := time.Now()
	d.record.Note("T: ping %d of %s is made; it arrives %v later", late.seq, leaving.ID, latePingAt)
	started := killed
	if trouble {
		node.Kill()
		time.Sleep(time.Until(killed.Add(vainDown)))
		if err := node.Start(); err != nil {
			return verdict(d, exitNotRun, "start: %v", err)
		}
		started = time.Now()
	}
	time.Sleep(time.Until(killed.Add(oldPingAt)))
	if status := oldPing.Send(); trouble && status != http.StatusOK {
		return verdict(d, exitNotRun, "the node did not take the ping of the crashed boot: %d", status)
	}
	d.record.Note("the ping of the crashed boot has arrived")
	time.Sleep(time.Until(killed.Add(leaveAt)))
	if leaving.Leave() != http.StatusOK {
		return verdict(d, exitNotRun, "the DELETE was not acknowledged")
	}
	acked := time.Now()
	d.record.Note("the DELETE is acknowledged")
	time.Sleep(time.Until(killed.Add(latePingAt)))
	d.record.Note("ping %d of %s arrives: %d", late.seq, leaving.ID, late.Send())
	bound := acked.Add(drainTime)
	if inTouch := started.Add(stableTime); trouble && inTouch.After(bound) {
		bound = inTouch
	}
	bound = bound.Add(checkMargin)
	time.Sleep(time.Until(acked.Add(serveAfter)))
	close(stop)
	clients.Wait()
	leaving.Exit()
	return checkDrain(d, clients, leaving, acked, bound)
}
