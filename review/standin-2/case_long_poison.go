package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// longBody is the length of the bodies, in bytes. MaxBodyBytes of the configuration is 67108864.
	longBody = 80_000
	// crashTime is the time for which a crashed backend is down.
	crashTime = 2 * time.Second
	// resends is the number of times that the request comes again, resendInterval the time between two of them.
	resends        = 16
	resendInterval = 1500 * time.Millisecond
	// allowedRetries is the number of retries that may reach backends later than StableWindowS after the third crash.
	allowedRetries = 3
	poisonMark     = "poison"
)

// fleet is the backends of a service, with those that have taken the place of crashed ones.
type fleet struct {
	crashing func(r *http.Request, start string) bool

	mu       sync.Mutex
	backends []*Backend
	crashes  []time.Time
	ended    bool
}

// start starts a backend on a machine. After a crash another boot takes its place.
func (f *fleet) start(d *Deployment, m *Machine, boot int) error {
	b := NewBackend(m, fmt.Sprintf("i-%s-%d", m.Zone, boot), 40*time.Millisecond)
	b.crashes = f.crashing
	b.onCrash = func() {
		b.StopBeat()
		f.mu.Lock()
		f.crashes = append(f.crashes, time.Now())
		f.mu.Unlock()
		time.AfterFunc(crashTime, func() {
			f.mu.Lock()
			ended := f.ended
			f.mu.Unlock()
			if !ended {
				if err := f.start(d, m, boot+1); err != nil {
					d.record.Note("backend beside %s: %v", m.Name, err)
				}
			}
		})
	}
	if err := b.Serve(); err != nil {
		return err
	}
	b.Beat()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.backends = append(f.backends, b)
	return nil
}

// runs returns what all boots have run.
func (f *fleet) runs() []Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []Run
	for _, b := range f.backends {
		all = append(all, b.Runs()...)
	}
	return all
}

// poisonPlan is what is sent to a service one of whose requests crashes each backend that begins to run it.
type poisonPlan struct {
	kind, method string
	// crashes says which requests crash a backend.
	crashes func(r *http.Request, start string) bool
	// poisonBody is the body of the request that crashes backends, bodyOf that of the other callers' requests.
	poisonBody string
	bodyOf     func(caller, n int) string
	// poisonCaller is the service beside whose backends the crashing request is sent, otherCaller that of the other callers.
	poisonCaller, otherCaller string
}

// longPoison: a request whose body has 80,000 bytes crashes each backend that begins to run it, and comes again at one machine
// after the other. Meanwhile other callers send bodies of that length to the same path.
func longPoison(d *Deployment, trouble bool) int {
	return playPoison(d, trouble, poisonPlan{
		kind: "unsafe", method: http.MethodPost,
		crashes:    func(_ *http.Request, start string) bool { return start == poisonMark },
		poisonBody: poisonMark + strings.Repeat("p", bodyLength()-len(poisonMark)),
		bodyOf: func(caller, n int) string {
			return fmt.Sprintf("%03d%07d", caller, n) + strings.Repeat("x", bodyLength()-10)
		},
		poisonCaller: "turnos", otherCaller: "turnos",
	})
}

// bodyLength returns longBody, or what the environment says in its place.
func bodyLength() int {
	if n, err := strconv.Atoi(os.Getenv("BODY_BYTES")); err == nil {
		return n
	}
	return longBody
}

// callerPoison: a request without a body crashes each backend that begins to run it for callers of one service, and comes again
// at one machine of that service after the other. Callers of another service send the same path, which runs well.
func callerPoison(d *Deployment, trouble bool) int {
	return playPoison(d, trouble, poisonPlan{
		kind: "safe", method: http.MethodGet,
		crashes:      func(r *http.Request, _ string) bool { return r.Header.Get("X-Caller-Service") == "turnos" },
		bodyOf:       func(int, int) string { return "" },
		poisonCaller: "turnos", otherCaller: "calendario",
	})
}

// playPoison sends the crashing request again and again beside those of the other callers, and counts which reach backends.
func playPoison(d *Deployment, trouble bool, plan poisonPlan) int {
	core := d.AddCore(0)
	d.AddCore(1)
	d.AddCore(2)
	var sides, callers, poisoners []*Machine
	for zone := range zones {
		sides = append(sides, d.AddSidecar(1, zone, "reservas"))
	}
	for zone := range zones {
		callers = append(callers, d.AddSidecar(2, zone, plan.otherCaller))
	}
	beside := callers
	if poisoners = callers; plan.poisonCaller != plan.otherCaller {
		poisoners = nil
		for zone := range 2 {
			poisoners = append(poisoners, d.AddSidecar(3, zone, plan.poisonCaller))
		}
		beside = append(append([]*Machine(nil), callers...), poisoners...)
	}
	if err := d.StartAll(); err != nil {
		return verdict(d, exitNotRun, "start: %v", err)
	}
	f := &fleet{crashing: plan.crashes}
	for _, m := range sides {
		if err := f.start(d, m, 1); err != nil {
			return verdict(d, exitNotRun, "backend: %v", err)
		}
	}
	for i, m := range beside {
		b := NewBackend(m, fmt.Sprintf("i-caller-%d", i), 5*time.Millisecond)
		if err := b.Serve(); err != nil {
			return verdict(d, exitNotRun, "backend: %v", err)
		}
		b.Beat()
	}
	route := Route{Name: "r-upload", Host: "jepu9.example", Prefix: "/puka111/", Kind: plan.kind, TimeoutS: 1.2, TargetLatencyS: 0.4, Priority: 1, MaxAttempts: 2, Service: "reservas"}
	if !d.PutFirstConfig(core, Config(1, []Route{route}, "reservas", "turnos", "calendario"), 20*time.Second) {
		return verdict(d, exitNotRun, "the first configuration was not accepted")
	}
	if !d.AwaitReady(20 * time.Second) {
		return verdict(d, exitNotRun, "the nodes did not become ready")
	}
	time.Sleep(2 * time.Second)
	clients, stop := NewClients(d), make(chan struct{})
	path := route.Prefix + "2f"
	for i, via := range callers {
		clients.StreamOf(via, plan.method, route.Host, func(n int) (string, string) { return path, plan.bodyOf(i, n) }, 100*time.Millisecond, 1200*time.Millisecond, stop)
	}
	time.Sleep(time.Second)
	poison := map[string]bool{}
	for n := range resends {
		if trouble {
			sent := clients.Send(poisoners[n%len(poisoners)], plan.method, route.Host, path, plan.poisonBody, 1200*time.Millisecond)
			poison[sent.ID] = true
		}
		time.Sleep(resendInterval)
	}
	close(stop)
	clients.Wait()
	f.mu.Lock()
	f.ended = true
	crashes := append([]time.Time(nil), f.crashes...)
	f.mu.Unlock()
	reached, lost, served := 0, 0, 0
	if len(crashes) >= 3 {
		for _, run := range f.runs() {
			if poison[run.ID] && run.At.After(crashes[2].Add(stableTime)) {
				reached++
			}
		}
	}
	for _, run := range f.runs() {
		switch sent := clients.Find(run.ID); {
		case poison[run.ID]:
		case sent.Status == http.StatusOK:
			served++
		default:
			lost++
		}
	}
	summary := fmt.Sprintf("%d crashes; %d retries reached backends later than %v after the third; of the other callers' requests that ran, %d were answered and %d lost their answer",
		len(crashes), reached, stableTime, served, lost)
	switch {
	case served == 0:
		return verdict(d, exitNotRun, "no request of the other callers was served: %s", summary)
	case reached > allowedRetries:
		return verdict(d, exitBroken, "BUDGET: %s", summary)
	}
	return verdict(d, exitHeld, "%s", summary)
}
