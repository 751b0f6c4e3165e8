package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Sent is one request of a client, with its answer.
type Sent struct {
	ID, Via  string
	At       time.Time
	Answered time.Time
	// Status is 0 if the connection ended without an answer.
	Status int
	Stamp  string
	Body   string
}

// Clients are the stand-ins for requesters.
type Clients struct {
	deployment *Deployment
	next       atomic.Int64
	mu         sync.Mutex
	sent       map[string]*Sent
	running    sync.WaitGroup
}

// NewClients returns clients that have sent nothing.
func NewClients(d *Deployment) *Clients {
	return &Clients{deployment: d, sent: map[string]*Sent{}}
}

// Send sends one request through a node and returns its result.
func (c *Clients) Send(via *Machine, method, host, path, body string, deadline time.Duration) *Sent {
	s := &Sent{ID: fmt.Sprintf("a%06d", c.next.Add(1)), Via: via.Name, At: time.Now()}
	c.mu.Lock()
	c.sent[s.ID] = s
	c.mu.Unlock()
	record := c.deployment.record
	record.Note("sent     %s %s %s%s via %s", s.ID, method, host, path, via.Name)
	request, err := http.NewRequest(method, "http://"+via.Addr(portOutbound)+path, strings.NewReader(body))
	if err != nil {
		return s
	}
	request.Host = host
	request.Close = true
	request.Header.Set("X-Attempt-Id", s.ID)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	client := http.Client{Timeout: deadline + time.Second}
	response, err := client.Do(request)
	s.Answered = time.Now()
	if err != nil {
		record.Note("answered %s: none (%v)", s.ID, err)
		return s
	}
	content, readErr := io.ReadAll(response.Body)
	response.Body.Close()
	s.Status, s.Stamp, s.Body = response.StatusCode, response.Header.Get("X-Server-Stamp"), string(content)
	if readErr != nil {
		s.Status = 0
	}
	record.Note("answered %s: %d %s", s.ID, s.Status, strings.TrimSpace(s.Body))
	return s
}

// Stream sends requests through a node at an interval until stop is closed.
func (c *Clients) Stream(via *Machine, method, host, prefix string, every, deadline time.Duration, stop <-chan struct{}) {
	c.StreamOf(via, method, host, func(n int) (string, string) { return fmt.Sprintf("%s%x", prefix, n), "" }, every, deadline, stop)
}

// StreamOf is Stream with the path and the body of each request.
func (c *Clients) StreamOf(via *Machine, method, host string, make func(n int) (path, body string), every, deadline time.Duration, stop <-chan struct{}) {
	c.running.Go(func() {
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			path, body := make(n)
			c.running.Go(func() { c.Send(via, method, host, path, body, deadline) })
		}
	})
}

// Wait waits until all streams have ended and all their requests are answered.
func (c *Clients) Wait() { c.running.Wait() }

// Find returns the request with an ID.
func (c *Clients) Find(id string) *Sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent[id]
}
