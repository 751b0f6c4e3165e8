//go:build review

package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() {
	scenarios["hosts"] = scenario{services: []string{"archivo", "archivo", "reservas", "reservas"}, play: playHosts}
}

// The route r-book books at reservas. The second configuration adds the route r-list.
const (
	hostsHead = `{"Version":%q,"Routes":{"Columns":["Name","Host","PathPrefix","Kind","TimeoutS","TargetLatencyS","Priority","TrafficSplit","MaxAttempts","Service"],"Rows":[` +
		`["r-book","plaza.example","/book/","unsafe",1,0.4,1,null,2,"reservas"]`
	hostsAdded = `,["r-list",%q,%q,"safe",1,0.4,1,null,2,"archivo"]`
	hostsTail  = `]},"Services":{"Columns":["Name","HealthPath","MaxConnections","Protocol","Tls"],"Rows":[["archivo","/health",130,"h1",false],["reservas","/health",130,"h1",false]]},` +
		`"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutS":3,"IdleTimeoutS":15}}`
)

// propagation is ConfigPropagationS.
const propagation = 2 * time.Second

// playHosts sends a configuration in which two routes share host and prefix, but for the case of the host, and then bookings.
func playHosts(d *deployment, trouble bool) (bool, error) {
	var mu sync.Mutex
	runs := map[string]string{}
	serve := func(b *backend, a arrival, conn net.Conn) bool {
		mu.Lock()
		runs[a.id] = b.service
		mu.Unlock()
		return b.answer(conn, a, []byte("ok"))
	}
	services := scenarios["hosts"].services
	for i, service := range services {
		b := newBackend(d, firstNode+i, service, serve)
		if err := b.start(); err != nil {
			return false, err
		}
		go b.announceLoop()
		defer close(b.stopped)
	}
	if !d.putConfig("00000000", fmt.Sprintf(hostsHead, "00000004")+hostsTail) {
		return false, errors.New("the first configuration is not acknowledged")
	}
	if !d.allReady(len(services)) {
		return false, errors.New("a node is not ready")
	}
	time.Sleep(stableWindow + time.Second)
	host, prefix := "Plaza.example", "/book/"
	if !trouble {
		prefix = "/list/"
	}
	document := fmt.Sprintf(hostsHead, "00000005") + fmt.Sprintf(hostsAdded, host, prefix) + hostsTail
	status, text := d.request("PUT", "http://"+d.addr(1, portControl)+"/-/config", document, "If-Match", "00000004", "Content-Type", "application/json")
	d.record.printf("configuration 00000005 adds r-list at %s%s: %d %s", host, prefix, status, text)
	if status != http.StatusOK {
		if status < 400 || status >= 500 || !trouble {
			return false, errors.New("the configuration got no clear answer")
		}
	}
	time.Sleep(propagation + time.Second)
	status, text = d.request("GET", "http://"+d.addr(2, portControl)+"/-/config", "")
	d.record.printf("read back: %d, in force: %t", status, text == document)
	const bookings = 40
	wrong := 0
	for n := range bookings {
		id := fmt.Sprintf("b%d", n)
		status, _ := d.call(firstNode+n%len(services), "POST", "plaza.example", "/book/7", id, "crew")
		mu.Lock()
		service := runs[id]
		mu.Unlock()
		if service != "" && service != "reservas" {
			wrong++
		}
		d.record.printf("POST plaza.example/book/7 %s: %d, run by %q", id, status, service)
	}
	d.record.printf("%d of %d bookings were run by a service other than that of r-book", wrong, bookings)
	return wrong == 0, nil
}
