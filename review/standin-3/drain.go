//go:build review

package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

func init() {
	scenarios["drain"] = scenario{services: []string{"turnos", "turnos", "turnos"}, play: playDrain}
}

const (
	// drainTime is DrainS.
	drainTime = 2 * time.Second
	// leaverServes is the time for which the leaving backend goes on serving after the ack.
	leaverServes = 16 * time.Second
	// clientsPerNode clients send one request after the other at each node but that of the leaving backend.
	clientsPerNode = 30
	// beatDelay is the time by which its last ping before the DELETE is late.
	beatDelay = 4 * time.Second
	// nodeDown and coreDown are the times until the killed node and the control instance are started again.
	nodeDown = 500 * time.Millisecond
	coreDown = 3 * time.Second
)

const drainConfig = `{"Version":"00000004","Routes":{"Columns":["Name","Host","PathPrefix","Kind","TimeoutS","TargetLatencyS","Priority","TrafficSplit","MaxAttempts","Service"],"Rows":[` +
	`["r-view","plaza.example","/view/","safe",1,0.3,1,null,2,"turnos"]]},` +
	`"Services":{"Columns":["Name","HealthPath","MaxConnections","Protocol","Tls"],"Rows":[["turnos","/health",130,"h1",false]]},` +
	`"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutS":3,"IdleTimeoutS":15}}`

// playDrain lets a backend leave with DELETE. Right after the ack, the node beside it and the control instance of its zone are killed,
// and the latter loses its disk. Its last ping before the DELETE arrives late.
func playDrain(d *deployment, trouble bool) (bool, error) {
	var mu sync.Mutex
	var arrivals []arrival
	leaving := firstNode
	leaver := fmt.Sprintf("i-%d", leaving)
	serve := func(b *backend, a arrival, conn net.Conn) bool {
		if b.id == leaver {
			mu.Lock()
			arrivals = append(arrivals, a)
			mu.Unlock()
		}
		time.Sleep(100 * time.Millisecond)
		return b.answer(conn, a, []byte("ok"))
	}
	var backends []*backend
	services := scenarios["drain"].services
	for i, service := range services {
		b := newBackend(d, firstNode+i, service, serve)
		if err := b.start(); err != nil {
			return false, err
		}
		go b.announceLoop()
		backends = append(backends, b)
	}
	if !d.putConfig("00000000", drainConfig) {
		return false, errors.New("the configuration is not acknowledged")
	}
	if !d.allReady(len(services)) {
		return false, errors.New("a node is not ready")
	}
	// The nodes turn to the control instance of their zone meanwhile.
	time.Sleep(8 * time.Second)
	home := 0
	for i := 1; i <= controls; i++ {
		if zoneOf(i) == zoneOf(leaving) {
			home = i
		}
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for c := range clientsPerNode * (len(services) - 1) {
		machine := firstNode + 1 + c%(len(services)-1)
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				d.call(machine, "GET", "plaza.example", "/view/1", fmt.Sprintf("v%d-%d", c, n), "")
			}
		})
	}
	time.Sleep(2 * time.Second)

	// The backend sends a ping, which is late, and then DELETE.
	b := backends[0]
	close(b.stopped)
	b.mu.Lock()
	b.seq++
	late := fmt.Sprintf(`{"Service":%q,"Address":%q,"Zone":%q,"Version":"v1","Slots":%d,"State":"ready","ColdLeftS":0,"Seq":%d,"born":%d}`,
		b.service, d.addr(leaving, portApp), zoneOf(leaving), slots, b.seq, b.born)
	b.mu.Unlock()
	pinged := time.Now()
	status, _ := d.request("DELETE", "http://"+d.addr(leaving, portControl)+"/-/instances/"+leaver, "")
	acked := time.Now()
	if status != 200 {
		return false, fmt.Errorf("the DELETE got %d", status)
	}
	node, core := d.newest(leaving), d.newest(home)
	if trouble {
		_ = core.cmd.Process.Kill()
		_ = node.cmd.Process.Kill()
		killed := time.Since(acked)
		<-core.done
		<-node.done
		d.record.printf("DELETE of %s acknowledged by %s; %s and %s were killed %v later", leaver, node.name, core.name, node.name, killed)
		for i := 1; i <= controls; i++ {
			text, err := os.ReadFile(filepath.Join(d.dir, fmt.Sprintf("core-%d", i), "departures"))
			d.record.printf("core-%d has stored the departure: %t", i, err == nil && strings.Contains(string(text), leaver))
		}
		if err := os.RemoveAll(filepath.Join(d.dir, core.name)); err != nil {
			return false, err
		}
		d.record.printf("%s has lost its disk", core.name)
		time.Sleep(time.Until(acked.Add(nodeDown)))
		if _, err := d.start(leaving, "turnos", false); err != nil {
			return false, err
		}
	} else {
		d.record.printf("DELETE of %s acknowledged by %s", leaver, node.name)
	}
	inTouch := acked.Add(drainTime)
	if trouble {
		time.Sleep(time.Until(acked.Add(coreDown)))
		if _, err := d.start(home, "", false); err != nil {
			return false, err
		}
		d.record.printf("%s starts with an empty disk", core.name)
		inTouch = time.Now().Add(stableWindow + 300*time.Millisecond)
	}
	time.Sleep(time.Until(pinged.Add(beatDelay)))
	status, _ = d.request("PUT", "http://"+d.addr(leaving, portControl)+"/-/instances/"+leaver, late, "Content-Type", "application/json")
	d.record.printf("the ping that %s sent before the DELETE arrives %v late: %d", leaver, time.Since(pinged).Round(time.Millisecond), status)
	time.Sleep(time.Until(acked.Add(leaverServes)))
	b.crash()
	close(stop)
	clients.Wait()
	for _, other := range backends[1:] {
		close(other.stopped)
	}
	mu.Lock()
	defer mu.Unlock()
	count, after := 0, 0
	var first, last time.Duration
	for _, a := range arrivals {
		if a.at.After(acked.Add(drainTime)) {
			after++
		}
		if a.at.After(inTouch) {
			if count == 0 {
				first = a.at.Sub(acked)
			}
			count, last = count+1, a.at.Sub(acked)
		}
	}
	d.record.printf("%d requests reached %s later than DrainS after the ack", after, leaver)
	d.record.printf("%d of them while all machines were in touch, %v to %v after the ack", count, first.Round(time.Millisecond), last.Round(time.Millisecond))
	return count == 0, nil
}

// newest returns the process of a machine that was started last.
func (d *deployment) newest(machine int) *process {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := len(d.processes) - 1; i >= 0; i-- {
		if name := d.processes[i].name; name == fmt.Sprintf("sidecar-%d", machine) || name == fmt.Sprintf("core-%d", machine) {
			return d.processes[i]
		}
	}
	return nil
}
