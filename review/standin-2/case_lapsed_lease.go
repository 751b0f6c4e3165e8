package main

import (
	"net/http"
	"time"
)

// Times of the case, from the moment T at which the last ping that is in time has arrived.
const (
	lateBy      = 6 * time.Second
	latePings   = 5
	leaveAfter  = 5200 * time.Millisecond
	killAfter   = 200 * time.Millisecond
	downTime    = 500 * time.Millisecond
	drainTime   = 2 * time.Second
	stableTime  = 3 * time.Second
	serveAfter  = 9 * time.Second
	checkMargin = 300 * time.Millisecond
)

// lapsedLease: the pings of a backend arrive 6 s late, it leaves with a DELETE, the node beside it acknowledges that, and the
// node's process is killed and started again. Then the late pings arrive. The backend must get no new work.
func lapsedLease(d *Deployment, trouble bool) int {
	rota, problem := startRota(d, "i-aaaa0001")
	if problem != "" {
		return verdict(d, exitNotRun, "%s", problem)
	}
	leaving, node := rota.first, rota.first.machine
	for range 4 {
		leaving.NewPing("ready").Send()
		time.Sleep(heartbeatInterval)
	}
	clients, stop := NewClients(d), make(chan struct{})
	rota.send(clients, stop)
	time.Sleep(2 * heartbeatInterval)
	leaving.NewPing("ready").Send()
	lastInTime := time.Now()
	d.record.Note("T: the last ping in time has arrived")
	for i := range latePings {
		time.AfterFunc(time.Duration(i+1)*heartbeatInterval, func() {
			ping := leaving.NewPing("ready")
			d.record.Note("ping %d of %s is made; it arrives %v later", ping.seq, leaving.ID, lateBy)
			time.AfterFunc(lateBy, func() {
				status := ping.Send()
				d.record.Note("ping %d of %s arrives: %d", ping.seq, leaving.ID, status)
			})
		})
	}
	time.Sleep(time.Until(lastInTime.Add(leaveAfter)))
	var acked time.Time
	for range 5 {
		if leaving.Leave() == http.StatusOK {
			acked = time.Now()
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	if acked.IsZero() {
		return verdict(d, exitNotRun, "the DELETE was not acknowledged")
	}
	d.record.Note("the DELETE is acknowledged")
	bound := acked.Add(drainTime)
	time.Sleep(killAfter)
	if trouble {
		node.Kill()
		time.Sleep(downTime)
		if err := node.Start(); err != nil {
			return verdict(d, exitNotRun, "start: %v", err)
		}
		// The machine is in touch again after StableWindowS.
		if inTouch := time.Now().Add(stableTime); inTouch.After(bound) {
			bound = inTouch
		}
	}
	bound = bound.Add(checkMargin)
	time.Sleep(time.Until(acked.Add(serveAfter)))
	close(stop)
	clients.Wait()
	leaving.Exit()
	return checkDrain(d, clients, leaving, acked, bound)
}

// checkDrain judges whether requests that were sent after the bound have reached a backend that has left.
func checkDrain(d *Deployment, clients *Clients, leaving *Backend, acked, bound time.Time) int {
	count, first := 0, time.Time{}
	for _, run := range leaving.Runs() {
		if sent := clients.Find(run.ID); sent != nil && run.At.After(bound) && sent.At.After(bound) {
			if count++; count == 1 {
				first = run.At
			}
		}
	}
	before := 0
	for _, run := range leaving.Runs() {
		if run.At.Before(acked) {
			before++
		}
	}
	if before == 0 {
		return verdict(d, exitNotRun, "the backend had no work before it left")
	}
	if count > 0 {
		return verdict(d, exitBroken, "DRAIN: %d requests reached %s later than DrainS after the acknowledged DELETE, with all machines in touch; the first %.2f s after it", count, leaving.ID, first.Sub(acked).Seconds())
	}
	return verdict(d, exitHeld, "no request reached %s after the bound; %d before the DELETE", leaving.ID, before)
}
