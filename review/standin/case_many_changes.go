package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

func init() { cases["many-changes"] = manyChanges }

const (
	// routeCount is the 800 idle routes of the site file and one for each of four kinds of request.
	routeCount = 804
	// changeCount is the number of changes, and quietChanges that without the disruption.
	changeCount  = 400
	quietChanges = 10
	// changeGap is the pause between two changes, changePeriod the longest time in which all are sent.
	changeGap    = 60 * time.Millisecond
	changePeriod = 85 * time.Second
	// giveUpTime is the time without an acknowledged change after which the operator sends no more.
	giveUpTime = 45 * time.Second
	// readPeriod is the time in which the configuration is read back, at all machines in turn.
	readPeriod = stableWindow + time.Second
)

// manyChanges sends hundreds of changes, each of which changes the time-outs and the weights of all routes. The platform
// kills a process that uses more than MemoryMb, as the pages say, and starts it again.
func manyChanges(w *world) bool {
	document := func(version int) string {
		var routes []route
		for i := range routeCount {
			routes = append(routes, route{
				name: fmt.Sprintf("r-%06d", i), prefix: fmt.Sprintf("/part%d/", i), kind: "safe", timeout: 1 + float64(version%100)/100,
				weights: map[string]int{shifts: 50 + version%40, calendar: 50 - version%40},
			})
		}
		return configuration(version, routes, shifts, calendar)
	}
	o, sides := w.startSmall(map[string]int{shifts: 1, calendar: 1}, []string{shifts, calendar}, document(1))
	ran := &arrivals{}
	for _, m := range sides {
		newBackend(m, ran, func(_ *backend, rw http.ResponseWriter, _ *http.Request) bool {
			writeBody(rw, 400)
			return false
		})
	}
	time.Sleep(stableWindow)
	stop := make(chan struct{})
	go w.limitMemory(stop)
	defer close(stop)
	count := quietChanges
	if w.trouble {
		count = changeCount
	}
	acked := 1
	began := time.Now()
	lastAck := began
	for version := 2; version <= count+1 && time.Since(began) < changePeriod && time.Since(lastAck) < giveUpTime; version++ {
		status := o.put(acked, document(version), ackTime)
		if status == http.StatusOK {
			acked, lastAck = version, time.Now()
		}
		if status != http.StatusOK || version%20 == 0 {
			w.logf("PUT /-/config version %d on top of %d -> %d; resident MB of the core: %v", version, acked, status, w.resident())
		}
		if status != http.StatusOK {
			// The change may be in force all the same; the operator goes on from what is.
			if number := w.readNewest(o, time.Second); number > acked {
				acked = number
			}
		}
		time.Sleep(changeGap)
	}
	w.logf("the newest acknowledged version is %d, %v after the first change; resident MB of the core: %v", acked, time.Since(began).Round(time.Second), w.resident())
	read := w.readNewest(o, readPeriod)
	w.logf("read back: version %d", read)
	often := 0
	for _, m := range w.cores() {
		m.mu.Lock()
		w.logf("%s: its process ended %d times by itself", m.name, m.ends)
		if m.ends >= 3 {
			often++
		}
		m.mu.Unlock()
	}
	// The day counts 0 if on half of the core processes end three times; the configuration must be read back.
	return read >= acked && 2*often < len(w.cores())
}

// resident returns the resident memory of the core processes in MB.
func (w *world) resident() []int {
	var list []int
	for _, m := range w.cores() {
		list = append(list, m.residentMB())
	}
	return list
}

// limitMemory kills processes of the core that use more than MemoryMb.
func (w *world) limitMemory(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		for _, m := range w.cores() {
			if used := m.residentMB(); used > memoryMB {
				w.logf("%s uses %d MB, more than MemoryMb = %d: killed", m.name, used, memoryMB)
				m.signal(syscall.SIGKILL)
			}
		}
	}
}

// readNewest reads the configuration until a machine answers, and returns its version, 0 if none answered in time.
func (w *world) readNewest(o *operator, within time.Duration) int {
	for began := time.Now(); time.Since(began) < within; time.Sleep(100 * time.Millisecond) {
		for _, m := range w.cores() {
			status, body := o.get(m)
			var read struct{ Version string }
			if status != http.StatusOK || json.NewDecoder(strings.NewReader(body)).Decode(&read) != nil {
				continue
			}
			var number int
			if _, err := fmt.Sscanf(read.Version, "%x", &number); err == nil {
				return number
			}
		}
	}
	return 0
}
