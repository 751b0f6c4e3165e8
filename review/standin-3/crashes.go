//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	scenarios["crash-upload"] = scenario{services: []string{"turnos", "turnos", "turnos", "turnos"}, play: playCrashUpload}
}

const (
	// stableWindow is StableWindowS.
	stableWindow = 3 * time.Second
	// crashAfter is the time from the start of a run to the crash of its backend, backAfter the time until the backend is back.
	crashAfter = 30 * time.Millisecond
	backAfter  = 3 * time.Second
	// maxRetries is the number that the rule allows, thirdCrash the crash from which it counts.
	maxRetries = 3
	thirdCrash = 3
)

// crashLedger holds the runs of the request that crashes backends.
type crashLedger struct {
	mu      sync.Mutex
	runs    []time.Time
	crashes []time.Time
}

// crash crashes a backend with a run in flight, and starts it again some time later.
func (l *crashLedger) crash(b *backend, a arrival) {
	if !b.crash() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes = append(l.crashes, time.Now())
	b.d.record.printf("%s (%s) runs %s and crashes: crash %d", b.id, b.service, a.id, len(l.crashes))
	time.AfterFunc(backAfter, func() {
		if err := b.start(); err != nil {
			b.d.record.printf("%s cannot start again: %v", b.id, err)
		}
	})
}

// lateRetries returns the number of runs later than StableWindowS after the third crash.
func (l *crashLedger) lateRetries() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.crashes) < thirdCrash {
		return 0
	}
	count := 0
	for _, at := range l.runs {
		if at.After(l.crashes[thirdCrash-1].Add(stableWindow)) {
			count++
		}
	}
	return count
}

// bringUpCrashing starts the backends and puts the configuration.
func bringUpCrashing(d *deployment, services []string, config string, trouble bool, ledger *crashLedger) (stop func(), err error) {
	var backends []*backend
	serve := func(b *backend, a arrival, conn net.Conn) bool { return b.answer(conn, a, []byte("ok")) }
	begin := func(b *backend, a arrival) bool {
		if !strings.HasPrefix(a.path, uploadPath) {
			return true
		}
		ledger.mu.Lock()
		ledger.runs = append(ledger.runs, a.at)
		ledger.mu.Unlock()
		if !trouble {
			return true
		}
		time.Sleep(crashAfter)
		ledger.crash(b, a)
		return false
	}
	for i, service := range services {
		b := newBackend(d, firstNode+i, service, serve)
		b.begin = begin
		if err := b.start(); err != nil {
			return nil, err
		}
		go b.announceLoop()
		backends = append(backends, b)
	}
	if !d.putConfig("00000000", config) {
		return nil, errors.New("the configuration is not acknowledged")
	}
	if !d.allReady(len(services)) {
		return nil, errors.New("a node is not ready")
	}
	time.Sleep(stableWindow + time.Second)
	return func() {
		for _, b := range backends {
			close(b.stopped)
		}
	}, nil
}

func (l *crashLedger) verdict(d *deployment) bool {
	late := l.lateRetries()
	d.record.printf("%d runs, %d crashes, %d retries reached a backend later than StableWindowS after the third crash", len(l.runs), len(l.crashes), late)
	return late <= maxRetries
}

const (
	// uploadPath is the path of requests with a long body, of uploadBytes bytes, which clients send in uploadPieces pieces.
	uploadPath   = "/upload/"
	uploadBytes  = 256 << 10
	uploadPieces = 16
	uploadPause  = 150 * time.Millisecond
)

const uploadConfig = `{"Version":"00000004","Routes":{"Columns":["Name","Host","PathPrefix","Kind","TimeoutS","TargetLatencyS","Priority","TrafficSplit","MaxAttempts","Service"],"Rows":[` +
	`["r-upload","plaza.example","/upload/","unsafe",8,4,1,null,1,"turnos"]]},` +
	`"Services":{"Columns":["Name","HealthPath","MaxConnections","Protocol","Tls"],"Rows":[["turnos","/health",130,"h1",false]]},` +
	`"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutS":3,"IdleTimeoutS":15}}`

// playCrashUpload sends a request with a long body that crashes backends as soon as they begin to run it, again and again, one at
// a time.
func playCrashUpload(d *deployment, trouble bool) (bool, error) {
	ledger := &crashLedger{}
	services := scenarios["crash-upload"].services
	stop, err := bringUpCrashing(d, services, uploadConfig, trouble, ledger)
	if err != nil {
		return false, err
	}
	defer stop()
	const sends = 12
	for n := range sends {
		id := fmt.Sprintf("u%d", n)
		status, err := d.upload(firstNode+n%len(services), id)
		d.record.printf("%s sent to sidecar-%d: status %d, %v", id, firstNode+n%len(services), status, err)
		time.Sleep(4 * time.Second)
	}
	return ledger.verdict(d), nil
}

// upload sends a long body in pieces until it is whole or an answer comes.
func (d *deployment) upload(machine int, id string) (int, error) {
	conn, err := net.Dial("tcp", d.addr(machine, portOutbound))
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(9 * time.Second))
	answered := make(chan struct{})
	var status int
	var failure error
	go func() {
		defer close(answered)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			failure = err
			return
		}
		status = response.StatusCode
	}()
	fmt.Fprintf(conn, "POST %s7 HTTP/1.1\r\nHost: plaza.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 8000\r\nContent-Length: %d\r\n\r\n", uploadPath, id, uploadBytes)
	piece := []byte(strings.Repeat("x", uploadBytes/uploadPieces))
	for range uploadPieces {
		if _, err := conn.Write(piece); err != nil {
			break
		}
		select {
		case <-answered:
			return status, failure
		case <-time.After(uploadPause):
		}
	}
	<-answered
	return status, failure
}
