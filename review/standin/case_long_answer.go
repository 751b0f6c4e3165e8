package main

import (
	"net/http"
	"time"
)

func init() { cases["long-answer"] = longAnswer }

// Lengths of the answers of the two services, in bytes.
const (
	shortAnswer = 30_000
	longReport  = 600_000
)

// longAnswer moves a route to a service whose answers are longer than 256 KiB. The rule LOST is judged beside the
// configuration: from its sending until ConfigPropagationS + 1 s after its ack.
func longAnswer(w *world) bool {
	routeTo := func(service string) []route {
		return []route{{name: "r-report", prefix: "/report/", kind: "safe", timeout: 5, service: service}}
	}
	o, sides := w.startSmall(map[string]int{shifts: 2, calendar: 2}, []string{shifts, calendar}, configuration(1, routeTo(shifts), shifts, calendar))
	ran := &arrivals{}
	for _, m := range sides {
		size := shortAnswer
		if m.service == calendar {
			size = longReport
		}
		newBackend(m, ran, func(_ *backend, rw http.ResponseWriter, r *http.Request) bool {
			writeBody(rw, size)
			return false
		})
	}
	time.Sleep(stableWindow + time.Second)
	requester := &client{machine: sides[0]}
	before := w.reports(requester, 4*time.Second)
	if w.trouble {
		if status := o.put(1, configuration(2, routeTo(calendar), shifts, calendar), ackTime); status != 200 {
			w.fail("the change got status %d", status)
		}
		w.logf("PUT /-/config version 2, which moves the route to %s -> 200", calendar)
	}
	window := propagationTime + time.Second
	beside := w.reports(requester, window)
	cutBefore, cutBeside := w.countCut(before, ran), w.countCut(beside, ran)
	w.logf("before the change: %d of %d requests that had been passed on to a backend were cut; beside it: %d of %d", cutBefore, len(before), cutBeside, len(beside))
	// Beside a configuration a cut counts if requests are cut over three times as often then as at other times.
	often := float64(cutBeside)/float64(max(len(beside), 1)) > 3*float64(cutBefore)/float64(max(len(before), 1))
	return cutBeside == 0 || !often
}

// reports sends requests one after the other for a time and returns what the client saw.
func (w *world) reports(c *client, length time.Duration) []outcome {
	var list []outcome
	for began := time.Now(); time.Since(began) < length; time.Sleep(100 * time.Millisecond) {
		o := c.send(http.MethodGet, "/report/2025", 5*time.Second)
		w.logf("GET /report/2025 attempt %s at %s: status %d, %d of %d bytes, %v, after %v", o.attempt, c.machine.name, o.status, o.got, o.length, o.err, time.Since(o.sentAt).Round(time.Millisecond))
		list = append(list, o)
	}
	return list
}

// countCut counts the requests whose connection ended without a complete answer after a backend had run them.
func (w *world) countCut(list []outcome, ran *arrivals) int {
	run := map[string]bool{}
	for _, a := range ran.all() {
		run[a.attempt] = true
	}
	count := 0
	for _, o := range list {
		if !o.complete() && run[o.attempt] {
			count++
		}
	}
	return count
}
