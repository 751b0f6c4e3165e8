//go:build review

package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	scenarios["pipeline"] = scenario{services: []string{"archivo", "archivo", "turnos", "turnos", "turnos"}, play: playPipeline}
}

const (
	// pipelineClients clients open pipelineRounds connections each. On each they send a request for a long answer and, before it is
	// answered, pipelineBehind short ones.
	pipelineClients = 3
	pipelineRounds  = 90
	pipelineBehind  = 3
	longBody        = 400 << 10
	shortBody       = 400
	// maxLost is the number that the rule allows.
	maxLost = 3
	// spoiledShare of the long answers are broken off by one of the two backends of archivo, for garbleTime in each garblePeriod:
	// garble with share 0.5 and x 0.05.
	spoiledShare = 0.05
	garbleTime   = 5 * time.Second
	garblePeriod = 6 * time.Second
)

const pipelineConfig = `{"Version":"00000004","Routes":{"Columns":["Name","Host","PathPrefix","Kind","TimeoutS","TargetLatencyS","Priority","TrafficSplit","MaxAttempts","Service"],"Rows":[` +
	`["r-long","archivo.example","/long/","safe",2,1,2,null,2,"archivo"],["r-short","archivo.example","/short/","safe",2,0.5,1,null,2,"turnos"]]},` +
	`"Services":{"Columns":["Name","HealthPath","MaxConnections","Protocol","Tls"],"Rows":[["archivo","/health",130,"h1",false],["turnos","/health",130,"h1",false]]},` +
	`"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutS":3,"IdleTimeoutS":15}}`

// pipelineRun is what a backend saw of a request.
type pipelineRun struct {
	server string
	whole  bool
}

// playPipeline checks LOST: a machine in touch passes a request from a kept connection on to a sound backend and closes that
// connection without an answer, more than three times.
func playPipeline(d *deployment, trouble bool) (bool, error) {
	var mu sync.Mutex
	runs := map[string][]pipelineRun{}
	random := rand.New(rand.NewSource(1))
	// One of the two backends of archivo is faulty; those of turnos, which answer the short requests, are sound.
	faulty := fmt.Sprintf("i-%d", firstNode)
	var began time.Time
	serve := func(b *backend, a arrival, conn net.Conn) bool {
		if strings.HasPrefix(a.path, "/short/") {
			time.Sleep(150 * time.Millisecond)
			whole := b.answer(conn, a, bytes.Repeat([]byte("s"), shortBody))
			mu.Lock()
			runs[a.id] = append(runs[a.id], pipelineRun{b.id, whole})
			mu.Unlock()
			return whole
		}
		mu.Lock()
		spoil := trouble && b.id == faulty && time.Since(began)%garblePeriod < garbleTime && random.Float64() < spoiledShare
		mu.Unlock()
		body := bytes.Repeat([]byte("l"), longBody)
		time.Sleep(20 * time.Millisecond)
		if !spoil {
			return b.answer(conn, a, body)
		}
		// A faulty backend breaks its answer off.
		_, _ = conn.Write(append(b.head(a, len(body)), body[:longBody*3/4]...))
		time.Sleep(30 * time.Millisecond)
		d.record.printf("%s breaks off the answer to %s", b.id, a.id)
		return false
	}
	for i, service := range scenarios["pipeline"].services {
		b := newBackend(d, firstNode+i, service, serve)
		if err := b.start(); err != nil {
			return false, err
		}
		go b.announceLoop()
		defer close(b.stopped)
	}
	if !d.putConfig("00000000", pipelineConfig) {
		return false, errors.New("the configuration is not acknowledged")
	}
	if !d.allReady(len(scenarios["pipeline"].services)) {
		return false, errors.New("a node is not ready")
	}
	// All machines are in touch from StableWindowS after the start on.
	time.Sleep(4 * time.Second)

	mu.Lock()
	began = time.Now()
	mu.Unlock()
	lost, answered, longCut := 0, 0, 0
	var failure error
	var clients sync.WaitGroup
	for client := range pipelineClients {
		clients.Go(func() {
			for round := range pipelineRounds {
				name := fmt.Sprintf("%d-%d", client, round)
				ids := []string{"l" + name}
				for i := range pipelineBehind {
					ids = append(ids, fmt.Sprintf("s%s-%d", name, i))
				}
				got, err := pipelineConnection(d.addr(firstNode, portOutbound), name, ids)
				if got < 0 {
					mu.Lock()
					failure = err
					mu.Unlock()
					return
				}
				if err != nil {
					// The runs of what was passed on end meanwhile.
					time.Sleep(300 * time.Millisecond)
				}
				mu.Lock()
				answered += got
				if err != nil && got == 0 {
					longCut++
				}
				for _, id := range ids[max(got, 1):] {
					if err == nil || len(runs[id]) == 0 {
						continue
					}
					lost++
					last := runs[id][len(runs[id])-1]
					d.record.printf("%s was passed on to %s, a sound backend, which answered it (whole: %t); the connection ended without an answer to it (%v)", id, last.server, last.whole, err)
				}
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	if failure != nil {
		return false, failure
	}
	d.record.printf("%d answers, %d connections ended in a long answer, %d requests were passed on to a sound backend and not answered", answered, longCut, lost)
	return lost <= maxLost, nil
}

// pipelineConnection opens a connection, sends one request and reads its answer, so that the connection is a kept one, and then sends
// the requests with the given IDs at once. It returns the number of their whole answers, -1 if the first request failed.
func pipelineConnection(addr, name string, ids []string) (int, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return -1, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(6 * time.Second))
	reader := bufio.NewReader(conn)
	if _, err := pipelineExchange(conn, reader, []string{"/short/"}, []string{"k" + name}); err != nil {
		return -1, err
	}
	paths := []string{"/long/"}
	for range ids[1:] {
		paths = append(paths, "/short/")
	}
	return pipelineExchange(conn, reader, paths, ids)
}

// pipelineExchange sends requests at once and reads their answers in order. It returns the number of whole answers.
func pipelineExchange(conn net.Conn, reader *bufio.Reader, paths, ids []string) (int, error) {
	var out bytes.Buffer
	for i, path := range paths {
		fmt.Fprintf(&out, "GET %s%s HTTP/1.1\r\nHost: archivo.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 2000\r\n\r\n", path, ids[i], ids[i])
	}
	if _, err := conn.Write(out.Bytes()); err != nil {
		return 0, err
	}
	for i := range paths {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return i, err
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return i, err
		}
	}
	return len(paths), nil
}
