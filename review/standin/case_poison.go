package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["crashing-request"] = crashingRequest }

const (
	// crashingPath is the request that crashes each backend that begins to run it.
	crashingPath = "/turno/13"
	// maxCrashRetries is the number of retries that the rule allows after the third crash.
	maxCrashRetries = 3
)

// crashingRequest restarts the nodes one after the other while a request that crashes backends comes again and again. The
// rule BUDGET is judged: retries that reach backends later than StableWindowS after the third crash.
func crashingRequest(w *world) bool {
	routes := []route{
		{name: "r-turno", prefix: "/turno/", kind: "safe", timeout: 2, service: shifts},
		{name: "r-reservar", prefix: "/reservar/", kind: "unsafe", timeout: 2, service: shifts},
	}
	_, sides := w.startSmall(map[string]int{shifts: 4}, []string{shifts}, configuration(1, routes, shifts))
	ran := &arrivals{}
	for _, m := range sides {
		newBackend(m, ran, func(_ *backend, rw http.ResponseWriter, r *http.Request) bool {
			if r.URL.Path == crashingPath {
				return true
			}
			time.Sleep(bookingTime)
			writeBody(rw, 400)
			return false
		})
	}
	time.Sleep(stableWindow + time.Second)
	stop := make(chan struct{})
	var bookings sync.WaitGroup
	var lost atomic.Int64
	for _, m := range sides {
		for range 2 {
			bookings.Go(func() { lost.Add(w.bookUntil(stop, &client{machine: m}, ran)) })
		}
	}
	w.sendCrashing(sides[0], 4)
	w.sendCrashing(sides[1], 2)
	for _, m := range sides {
		if w.trouble {
			w.logf("SIGTERM to the node of %s", m.name)
			m.stop(syscall.SIGTERM)
			m.start()
			m.awaitReady(15 * time.Second)
			w.logf("the node of %s runs again and is ready", m.name)
		}
		// From here on the machine is in touch again, and so are all others.
		time.Sleep(stableWindow + 500*time.Millisecond)
		w.sendCrashing(m, 4)
	}
	close(stop)
	bookings.Wait()
	w.logf("%d bookings of others had begun to run and got no answer of the backend", lost.Load())
	return w.judgeCrashes(ran)
}

// sendCrashing sends the request at a machine a number of times, as callers do that get no answer.
func (w *world) sendCrashing(m *machine, times int) {
	for range times {
		c := &client{machine: m}
		o := c.send(http.MethodGet, crashingPath, 2*time.Second)
		w.logf("GET %s attempt %s at %s: status %d, stamp %q, %v", crashingPath, o.attempt, m.name, o.status, o.stamp, o.err)
		c.close()
		time.Sleep(500 * time.Millisecond)
	}
}

// judgeCrashes counts the arrivals later than StableWindowS after the third crash.
func (w *world) judgeCrashes(ran *arrivals) bool {
	var crashes []arrival
	for _, a := range ran.all() {
		if a.path == crashingPath {
			crashes = append(crashes, a)
		}
	}
	late := 0
	for i, a := range crashes {
		counted := i >= 3 && a.at.Sub(crashes[2].at) > stableWindow
		if counted {
			late++
		}
		w.logf("crash %d: attempt %s at backend %s, %.3f s, counted: %t", i+1, a.attempt, a.boot, a.at.Sub(w.began).Seconds(), counted)
	}
	w.logf("the request crashed %d backends; %d arrivals later than StableWindowS after the third crash, %d are allowed", len(crashes), late, maxCrashRetries)
	return late <= maxCrashRetries
}
