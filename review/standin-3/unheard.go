//go:build review

package main

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

func init() {
	scenarios["unheard"] = scenario{services: []string{"turnos", "turnos", "turnos"}, play: playUnheard}
}

const (
	// allDown and againDown are the times until killed processes are started again.
	allDown   = 600 * time.Millisecond
	againDown = 500 * time.Millisecond
	// leaveAfter is the time from the kill of all processes to the DELETE, killAgain that from its ack to the kill of the node.
	leaveAfter = 2500 * time.Millisecond
	killAgain  = 300 * time.Millisecond
	// lateBeats is the time by which the pings between the kill of all and the DELETE are late.
	lateBeats = 6 * time.Second
)

// playUnheard kills all processes at one moment. The pings of one backend are late from then on. It leaves with DELETE, and the node
// beside it is killed once more. Then its pings arrive.
func playUnheard(d *deployment, trouble bool) (bool, error) {
	var mu sync.Mutex
	var arrivals []time.Time
	leaving := firstNode
	leaver := fmt.Sprintf("i-%d", leaving)
	serve := func(b *backend, a arrival, conn net.Conn) bool {
		if b.id == leaver {
			mu.Lock()
			arrivals = append(arrivals, a.at)
			mu.Unlock()
		}
		time.Sleep(100 * time.Millisecond)
		return b.answer(conn, a, []byte("ok"))
	}
	var backends []*backend
	services := scenarios["unheard"].services
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
	time.Sleep(5 * time.Second)
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
	time.Sleep(time.Second)

	b := backends[0]
	close(b.stopped)
	if trouble {
		var killed []*process
		for i := 1; i <= controls; i++ {
			killed = append(killed, d.newest(i))
		}
		for i := range services {
			killed = append(killed, d.newest(firstNode+i))
		}
		for _, p := range killed {
			_ = p.cmd.Process.Kill()
		}
		for _, p := range killed {
			<-p.done
		}
		d.record.printf("all processes were killed")
		time.Sleep(allDown)
		for i := 1; i <= controls; i++ {
			if _, err := d.start(i, "", false); err != nil {
				return false, err
			}
		}
		for i, service := range services {
			if _, err := d.start(firstNode+i, service, false); err != nil {
				return false, err
			}
		}
		d.record.printf("all processes were started again")
	}
	began := time.Now()
	var late sync.WaitGroup
	for range int(leaveAfter / beatInterval) {
		b.mu.Lock()
		b.seq++
		seq := b.seq
		beat := fmt.Sprintf(`{"Service":%q,"Address":%q,"Zone":%q,"Version":"v1","Slots":%d,"State":"ready","ColdLeftS":0,"Seq":%d,"born":%d}`,
			b.service, d.addr(leaving, portApp), zoneOf(leaving), slots, seq, b.born)
		b.mu.Unlock()
		late.Go(func() {
			time.Sleep(lateBeats)
			status, _ := d.request("PUT", "http://"+d.addr(leaving, portControl)+"/-/instances/"+leaver, beat, "Content-Type", "application/json")
			d.record.printf("ping %d of %s arrives %v late: %d", seq, leaver, lateBeats, status)
		})
		time.Sleep(beatInterval)
	}
	time.Sleep(time.Until(began.Add(leaveAfter)))
	// A DELETE without an ack within a second is sent again.
	status := 0
	for try := 0; try < 5 && status != 200; try++ {
		status, _ = d.request("DELETE", "http://"+d.addr(leaving, portControl)+"/-/instances/"+leaver, "")
	}
	acked := time.Now()
	if status != 200 {
		return false, fmt.Errorf("the DELETE got %d", status)
	}
	d.record.printf("DELETE of %s acknowledged", leaver)
	inTouch := acked.Add(drainTime)
	if trouble {
		time.Sleep(killAgain)
		node := d.newest(leaving)
		_ = node.cmd.Process.Kill()
		<-node.done
		d.record.printf("%s was killed", node.name)
		time.Sleep(againDown)
		if _, err := d.start(leaving, "turnos", false); err != nil {
			return false, err
		}
		d.record.printf("%s was started again", node.name)
		inTouch = time.Now().Add(stableWindow + 300*time.Millisecond)
		// Twice StableWindowS after most of the core was killed.
		if stable := began.Add(2*stableWindow + 300*time.Millisecond); stable.After(inTouch) {
			inTouch = stable
		}
	}
	late.Wait()
	time.Sleep(time.Until(acked.Add(leaverServes)))
	b.crash()
	close(stop)
	clients.Wait()
	for _, other := range backends[1:] {
		close(other.stopped)
	}
	mu.Lock()
	defer mu.Unlock()
	count := 0
	var first, last time.Duration
	for _, at := range arrivals {
		if at.After(inTouch) && at.After(acked.Add(drainTime)) {
			if count == 0 {
				first = at.Sub(acked)
			}
			count, last = count+1, at.Sub(acked)
		}
	}
	d.record.printf("%d requests reached %s later than DrainS after the ack while all machines were in touch, %v to %v after it", count, leaver, first.Round(time.Millisecond), last.Round(time.Millisecond))
	return count == 0, nil
}
