package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["late-ping"] = latePing }

// bookingPrefix begins the paths of bookings, which must not run twice.
const bookingPrefix = "/reservar/"

const (
	// pingDelay is how late the last ping of the backend arrives.
	pingDelay = 5 * time.Second
	// killDelay is the time from the ack of the DELETE to the kill of the node.
	killDelay = time.Second
	// servesOn is how long the backend serves after the ack of its DELETE, before it exits.
	servesOn = 9 * time.Second
	// bookingTime is the work of a booking.
	bookingTime = 300 * time.Millisecond
)

// latePing lets a backend leave with DELETE and kills the node beside it after the ack. A ping that the backend sent before
// the DELETE arrives late. The rule DRAIN is judged.
func latePing(w *world) bool {
	routes := []route{{name: "r-reservar", prefix: "/reservar/", kind: "unsafe", timeout: 2, service: shifts}}
	_, sides := w.startSmall(map[string]int{shifts: 2, calendar: 1}, []string{shifts, calendar}, configuration(1, routes, shifts, calendar))
	ran := &arrivals{}
	var backends []*backend
	for _, m := range sides {
		backends = append(backends, newBackend(m, ran, func(_ *backend, rw http.ResponseWriter, _ *http.Request) bool {
			time.Sleep(bookingTime)
			writeBody(rw, 400)
			return false
		}))
	}
	leaving := backends[0]
	time.Sleep(stableWindow + time.Second)
	stop := make(chan struct{})
	var group sync.WaitGroup
	var lost atomic.Int64
	for _, m := range sides[1:] {
		for range 4 {
			group.Go(func() { lost.Add(w.bookUntil(stop, &client{machine: m}, ran)) })
		}
	}
	time.Sleep(2 * time.Second)

	leaving.mu.Lock()
	leaving.pinging = false
	leaving.seq++
	id, late := leaving.id, leaving.pingBody(leaving.seq, "ready")
	leaving.mu.Unlock()
	pingSent := time.Now()
	w.logf("ping %d of %s is sent, state ready; it is held up on its way", leaving.seq, id)
	status := leaving.call(http.MethodDelete, id, "")
	acked := time.Now()
	w.logf("DELETE /-/instances/%s -> %d", id, status)
	if status != http.StatusOK {
		w.fail("the DELETE was not acknowledged")
	}
	started := acked
	if w.trouble {
		time.Sleep(killDelay)
		m := leaving.machine
		m.stop(syscall.SIGKILL)
		time.Sleep(restartDelay)
		m.start()
		started = time.Now()
		m.awaitReady(10 * time.Second)
		w.logf("the node of %s runs again and is ready", m.name)
	}
	time.Sleep(time.Until(pingSent.Add(pingDelay)))
	w.logf("the ping held up since %.1f s arrives -> %d", time.Since(pingSent).Seconds(), leaving.call(http.MethodPut, id, late))
	time.Sleep(time.Until(acked.Add(servesOn)))
	leaving.end()
	w.logf("%s exits", id)
	time.Sleep(time.Second)
	close(stop)
	group.Wait()

	count := 0
	for _, a := range ran.all() {
		if a.boot != id || !a.at.After(acked.Add(drainTime)) {
			continue
		}
		inTouch := a.at.After(started.Add(stableWindow))
		if inTouch {
			count++
		}
		w.logf("run %s attempt %s at %s, %.3f s after the ack, all machines in touch: %t", a.path, a.attempt, a.boot, a.at.Sub(acked).Seconds(), inTouch)
	}
	w.logf("%d requests reached the backend later than DrainS after the ack, by machines in touch; %d bookings had begun to run and got no answer of the backend", count, lost.Load())
	return count == 0
}

// bookUntil sends one booking after the other. It returns the number of bookings that ran and got no answer of the backend.
func (w *world) bookUntil(stop <-chan struct{}, c *client, ran *arrivals) (lost int64) {
	defer c.close()
	for {
		select {
		case <-stop:
			return lost
		case <-time.After(50 * time.Millisecond):
		}
		path := bookingPrefix + attemptID()
		o := c.send(http.MethodPost, path, 2*time.Second)
		if o.complete() && o.status == http.StatusOK {
			continue
		}
		run := ran.has(o.attempt)
		if run && o.stamp == "" {
			lost++
		}
		w.logf("POST %s attempt %s at %s: status %d, stamp %q, %v; it had begun to run: %t", path, o.attempt, c.machine.name, o.status, o.stamp, o.err, run)
	}
}
