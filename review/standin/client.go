package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// client is a requester of one machine. It keeps its connection as long as it can.
type client struct {
	machine *machine
	conn    net.Conn
	reader  *bufio.Reader
}

// outcome is what a client saw of one request.
type outcome struct {
	attempt string
	sentAt  time.Time
	endedAt time.Time
	// status is 0 if no head of an answer came.
	status int
	stamp  string
	// length is the length that the head names, -1 if none; got is the number of bytes that came.
	length int64
	got    int64
	// err is set if the answer did not come whole.
	err error
}

func (o outcome) complete() bool { return o.status != 0 && o.err == nil }

// attemptID returns a new id of a requester attempt.
func attemptID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one request without a body and reads the answer.
func (c *client) send(method, path string, limit time.Duration) outcome {
	o := outcome{attempt: attemptID(), length: -1, sentAt: time.Now()}
	defer func() {
		o.endedAt = time.Now()
	}()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.machine.addr("Outbound"), time.Second)
		if err != nil {
			o.err = err
			return o
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	o.sentAt = time.Now()
	_ = c.conn.SetDeadline(o.sentAt.Add(limit))
	length := ""
	if method != http.MethodGet {
		length = "Content-Length: 0\r\n"
	}
	_, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n%s\r\n", method, path, host, o.attempt, limit.Milliseconds(), length)
	if err == nil {
		err = c.readAnswer(&o, method)
	}
	o.err = err
	if err != nil {
		c.close()
	}
	return o
}

func (c *client) readAnswer(o *outcome, method string) error {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return err
	}
	o.status, o.stamp, o.length = response.StatusCode, response.Header.Get("X-Server-Stamp"), response.ContentLength
	o.got, err = io.Copy(io.Discard, response.Body)
	if err == nil && response.Close {
		c.close()
	}
	return err
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn, c.reader = nil, nil
	}
}
