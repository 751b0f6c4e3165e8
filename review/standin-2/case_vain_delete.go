package main

import (
	"net/http"
	"time"
)

// Times of the case.
const (
	// vainDown is the time for which the killed process is down.
	vainDown = 800 * time.Millisecond
	// crashBefore is the time from the start of the new boot to the kill.
	crashBefore = 3 * time.Second
	// leaveWait and lateWait are the times from the old ping to the DELETE, and from there to the late ping.
	leaveWait = 200 * time.Millisecond
	lateWait  = 700 * time.Millisecond
	// vainLatePings is the number of the new boot's pings that arrive late.
	vainLatePings = 4
)

// vainDelete: a backend has crashed and another boot has taken its place. The node beside them is killed and started again. The
// first message that it gets is a ping of the crashed boot, which a partition had delayed; then the new boot leaves with a DELETE,
// which the node acknowledges; then late pings of the new boot arrive. The backend must get no new work.
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
	var late []*Ping
	for range vainLatePings {
		late = append(late, leaving.NewPing("ready"))
		d.record.Note("ping %d of %s is made; it arrives late", late[len(late)-1].seq, leaving.ID)
		time.Sleep(heartbeatInterval)
	}
	killed := time.Now()
	started := killed
	if trouble {
		node.Kill()
		time.Sleep(time.Until(killed.Add(vainDown)))
		if err := node.Start(); err != nil {
			return verdict(d, exitNotRun, "start: %v", err)
		}
		started = time.Now()
	}
	if !node.AwaitAnnounce(5 * time.Second) {
		return verdict(d, exitNotRun, "the node does not listen after its start")
	}
	time.Sleep(time.Until(killed.Add(vainDown)))
	if status := oldPing.Send(); trouble && status != http.StatusOK {
		return verdict(d, exitNotRun, "the node did not take the ping of the crashed boot: %d", status)
	}
	d.record.Note("the ping of the crashed boot has arrived")
	time.Sleep(leaveWait)
	if leaving.Leave() != http.StatusOK {
		return verdict(d, exitNotRun, "the DELETE was not acknowledged")
	}
	acked := time.Now()
	d.record.Note("the DELETE is acknowledged")
	time.Sleep(lateWait)
	for _, ping := range late {
		d.record.Note("ping %d of %s arrives %.1f s late: %d", ping.seq, leaving.ID, time.Since(ping.made).Seconds(), ping.Send())
		time.Sleep(heartbeatInterval)
	}
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
