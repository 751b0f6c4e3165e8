package hostile_test

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// crowdSize is the number of connections of most crowds, more than a process may have descriptors.
	crowdSize = 400
	// largeCrowdSize is the number of connections of a crowd that a process has descriptors enough for.
	largeCrowdSize = 1500
	// smallCrowdSize is the number of connections of crowds of which each holds much.
	smallCrowdSize = 60
	// blockedTime is the time after which a write counts as blocked: the process does not read.
	blockedTime = 500 * time.Millisecond
	// dripInterval is the time between two bytes of a slow caller.
	dripInterval = 100 * time.Millisecond

	legalBodyBytes = 60_000
	legalHeadBytes = 16_000
	pieceBytes     = 500
	// largeBodyBytes is the largest legal body at a route, and largeSentBytes what is sent of it.
	largeBodyBytes = 64 << 20
	largeSentBytes = 2 << 20
	pipelineLength = 64
)

// target is where a crowd sends its requests: its first line, without the protocol, and its fields.
type target struct {
	addr   string
	method string
	path   string
	fields string
}

// member is one connection of a crowd. It keeps the connection open until the crowd is dismissed.
type member struct {
	conn      net.Conn
	target    target
	dismissed <-chan struct{}
}

// crowd is a set of connections that misbehave in the same way.
type crowd struct {
	dismissed chan struct{}
	members   sync.WaitGroup
}

// startCrowd opens the connections of a crowd and returns when each has sent what it can: all of it, or as much as the process
// reads, or until the process has closed it. A slow caller counts as done with its first byte.
func startCrowd(size int, to target, misbehave func(m *member)) *crowd {
	c := &crowd{dismissed: make(chan struct{})}
	var sending sync.WaitGroup
	for range size {
		sending.Add(1)
		c.members.Go(func() {
			conn, err := net.DialTimeout("tcp", to.addr, blockedTime)
			if err != nil {
				sending.Done()
				return
			}
			defer conn.Close()
			misbehave(&member{conn: conn, target: to, dismissed: c.dismissed})
			sending.Done()
			<-c.dismissed
		})
	}
	sending.Wait()
	return c
}

// dismiss closes the connections of the crowd.
func (c *crowd) dismiss() {
	close(c.dismissed)
	c.members.Wait()
}

// write sends a text and reports whether all of it was sent.
func (m *member) write(text string) bool {
	_ = m.conn.SetWriteDeadline(time.Now().Add(blockedTime))
	_, err := io.WriteString(m.conn, text)
	return err == nil
}

// writeWhole sends a text, however slowly the process reads, as long as it reads at all.
func (m *member) writeWhole(text string) {
	const part = 64 << 10
	for ; len(text) > 0; text = text[min(part, len(text)):] {
		_ = m.conn.SetWriteDeadline(time.Now().Add(eventTimeout))
		if _, err := io.WriteString(m.conn, text[:min(part, len(text))]); err != nil {
			return
		}
	}
}

// head returns the start of a request, without the empty line that ends it.
func (m *member) head(fields string) string {
	t := m.target
	return t.method + " " + t.path + " HTTP/1.1\r\nHost: rota.example\r\nX-Attempt-Id: 1\r\nX-Deadline-Ms: 60000\r\n" + t.fields + fields
}

// writeDripping sends a text one byte at a time, in the background, until the crowd is dismissed.
func (m *member) writeDripping(text string) {
	for i := range len(text) {
		if !m.write(text[i : i+1]) {
			return
		}
		select {
		case <-m.dismissed:
			return
		case <-time.After(dripInterval):
		}
	}
}

// kind is a kind of misbehaviour.
type kind struct {
	name string
	// short is set for the kinds that each run of the tests includes.
	short     bool
	size      int
	misbehave func(m *member)
}

var kinds = []kind{
	{"body in one piece stops short", false, crowdSize, func(m *member) {
		m.write(m.head("Content-Length: "+strconv.Itoa(legalBodyBytes)+"\r\n\r\n") + strings.Repeat("x", legalBodyBytes-1))
	}},
	{"body in small pieces stops short", true, crowdSize, func(m *member) {
		m.write(m.head("Content-Length: " + strconv.Itoa(legalBodyBytes) + "\r\n\r\n"))
		for range legalBodyBytes/pieceBytes - 1 {
			if !m.write(strings.Repeat("x", pieceBytes)) {
				return
			}
		}
	}},
	{"body in chunks stops short", false, crowdSize, func(m *member) {
		m.write(m.head("Transfer-Encoding: chunked\r\n\r\n"))
		chunk := fmt.Sprintf("%x\r\n%s\r\n", pieceBytes, strings.Repeat("x", pieceBytes))
		for range legalBodyBytes / pieceBytes {
			if !m.write(chunk) {
				return
			}
		}
	}},
	{"large body stops short", true, smallCrowdSize, func(m *member) {
		m.write(m.head("Content-Length: " + strconv.Itoa(largeBodyBytes) + "\r\n\r\n"))
		m.writeLarge("")
	}},
	{"body over the limit", false, smallCrowdSize, func(m *member) {
		m.write(m.head("Content-Length: " + strconv.Itoa(largeBodyBytes<<10) + "\r\n\r\n"))
		m.writeLarge("")
	}},
	{"body over the limit in chunks", false, smallCrowdSize, func(m *member) {
		m.write(m.head("Transfer-Encoding: chunked\r\n\r\n"))
		m.writeLarge(fmt.Sprintf("%x\r\n", largeBodyBytes<<10))
	}},
	{"many short fields", true, crowdSize, func(m *member) {
		m.write(m.head(shortFields() + "Content-Length: 1000\r\n\r\nbody"))
	}},
	{"many short fields stop short", false, crowdSize, func(m *member) { m.write(m.head(shortFields())) }},
	{"requests sent ahead", false, smallCrowdSize, func(m *member) {
		t := m.target
		t.method, t.path = readRequest(t)
		ahead := member{conn: m.conn, target: t}
		m.write(strings.Repeat(ahead.head("Content-Length: 0\r\n\r\n"), pipelineLength))
	}},
	{"requests with many short fields sent ahead", false, smallCrowdSize, func(m *member) {
		m.write(strings.Repeat(m.head(shortFields()+"Content-Length: 0\r\n\r\n"), pipelineLength))
	}},
	{"slow head", false, crowdSize, func(m *member) {
		if m.write("P") {
			go m.writeDripping(m.head("Content-Length: 4\r\n\r\nbody")[1:])
		}
	}},
	{"slow body", false, crowdSize, func(m *member) {
		if m.write(m.head("Content-Length: " + strconv.Itoa(legalBodyBytes) + "\r\n\r\n")) {
			go m.writeDripping(strings.Repeat("x", legalBodyBytes))
		}
	}},
	{"head stops half-way", false, crowdSize, func(m *member) { m.write(m.head("Half: ")) }},
	{"slow reader", false, crowdSize, func(m *member) {
		t := m.target
		t.method, t.path = readRequest(t)
		slow := member{conn: m.conn, target: t}
		// A small receive buffer, so that the response waits at the process.
		_ = m.conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		if m.write(strings.Repeat(slow.head("Content-Length: 0\r\n\r\n"), 4)) {
			go m.readDripping()
		}
	}},
}

// writeLarge sends a start and then largeSentBytes.
func (m *member) writeLarge(start string) {
	if !m.write(start) {
		return
	}
	const block = 64 << 10
	for range largeSentBytes / block {
		if !m.write(strings.Repeat("x", block)) {
			return
		}
	}
}

// readDripping reads one byte at a time until the crowd is dismissed or the process has closed the connection.
func (m *member) readDripping() {
	var one [1]byte
	for {
		if _, err := m.conn.Read(one[:]); err != nil {
			return
		}
		select {
		case <-m.dismissed:
			return
		case <-time.After(dripInterval):
		}
	}
}

// readRequest returns the method and the path of a request for much data at the place of a target.
func readRequest(t target) (method, path string) {
	if strings.HasPrefix(t.path, "/book/") {
		return "GET", "/read/large"
	}
	return "GET", t.path
}

// shortFields returns as many short header fields as a legal head holds.
var shortFields = sync.OnceValue(func() string {
	var b strings.Builder
	for i := 0; b.Len() < legalHeadBytes-300; i++ {
		b.WriteString("F" + strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	return b.String()
})
