package main

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"
)

// route is a row of a configuration.
type route struct {
	name    string
	prefix  string
	kind    string
	timeout float64
	service string
	// weights divides the requests between two services; service is not used then.
	weights map[string]int
}

// target returns the values of TrafficSplit and Service.
func (r route) target() string {
	if r.weights == nil {
		return fmt.Sprintf("null,2,%q", r.service)
	}
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(r.weights)) {
		parts = append(parts, fmt.Sprintf(`{"Service":%q,"Weight":%d}`, name, r.weights[name]))
	}
	return "[" + strings.Join(parts, ",") + "],2,null"
}

// host is the host of all routes.
const host = "rota.example"

// configuration returns the body of a configuration.
func configuration(version int, routes []route, services ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, `{"Version":"%08x","Routes":{"Columns":["Name","Host","PathPrefix","Kind","TimeoutS","TargetLatencyS","Priority","TrafficSplit","MaxAttempts","Service"],"Rows":[`, version)
	for i, r := range routes {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `[%q,%q,%q,%q,%g,0.3,2,%s]`, r.name, host, r.prefix, r.kind, r.timeout, r.target())
	}
	b.WriteString(`]},"Services":{"Columns":["Name","HealthPath","MaxConnections","Protocol","Tls"],"Rows":[`)
	for i, name := range services {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `[%q,"/health",130,"h1",false]`, name)
	}
	b.WriteString(`]},"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutS":3,"IdleTimeoutS":15}}`)
	return b.String()
}

// operator sends orders to the core machines.
type operator struct {
	world  *world
	client *http.Client
}

func newOperator(w *world) *operator {
	return &operator{w, &http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// cores returns the core machines.
func (w *world) cores() []*machine {
	var list []*machine
	for _, m := range w.machines {
		if m.core {
			list = append(list, m)
		}
	}
	return list
}

// put sends a configuration, to one machine after the other, until it gets a clear answer or the time is over. It returns
// the status, 0 without a clear answer.
func (o *operator) put(base int, body string, within time.Duration) int {
	began := time.Now()
	for i := 0; time.Since(began) < within; i++ {
		cores := o.world.cores()
		status := o.putTo(cores[i%len(cores)], base, body)
		if status >= 200 && status < 500 && status != 408 && status != 429 {
			return status
		}
		time.Sleep(min(time.Duration(50<<min(i, 4))*time.Millisecond, 400*time.Millisecond))
	}
	return 0
}

func (o *operator) putTo(m *machine, base int, body string) int {
	request, err := http.NewRequest(http.MethodPut, "http://"+m.addr("Control")+"/-/config", strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("If-Match", fmt.Sprintf("%08x", base))
	response, err := o.client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// get reads the configuration at one machine. It returns the status, 0 without an answer, and the body.
func (o *operator) get(m *machine) (int, string) {
	response, err := o.client.Get("http://" + m.addr("Control") + "/-/config")
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(body)
}

// awaitReady waits until a sidecar machine is ready.
func (m *machine) awaitReady(within time.Duration) {
	began := time.Now()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for time.Since(began) < within {
		if response, err := client.Get("http://" + m.addr("Ready") + "/-/readyz"); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	m.world.fail("%s was not ready within %v", m.name, within)
}
