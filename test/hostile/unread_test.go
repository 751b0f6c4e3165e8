package hostile_test

import (
	"net"
	"strconv"
	"strings"
	"testing"
)

// Lengths of responses that crowds ask for and do not read, in bytes.
const (
	// megabytesLong is longer than a process buffers of one response; the others are shorter, so that a backend server has
	// sent all of it.
	megabytesLong = 2_000_000
	buffered      = 250_000
	mediumLong    = 90_000
)

const (
	// farAhead is the number of requests that a connection sends ahead.
	farAhead = 512
	// unreadCrowdSize is the number of connections of a crowd that reads nothing.
	unreadCrowdSize = 200
	// unreadSingleSize is that of a crowd with one request on each connection.
	unreadSingleSize = 800
	// smallWindow is the receive buffer of a client that does not read, so that its response waits at the process.
	smallWindow = 4 << 10
)

// longPath is the path of a response of a length.
func longPath(length int) string { return "/read/bytes/" + strconv.Itoa(length) }

// askAhead sends requests for responses of a length far ahead and reads nothing.
func askAhead(requests, length int) func(m *member) {
	return func(m *member) {
		t := m.target
		t.method, t.path = "GET", longPath(length)
		ahead := member{conn: m.conn, target: t}
		_ = m.conn.(*net.TCPConn).SetReadBuffer(smallWindow)
		m.write(strings.Repeat(ahead.head("Content-Length: 0\r\n\r\n"), requests))
	}
}

// askSame sends requests for the target itself far ahead and reads nothing.
func askSame(fields string) func(m *member) {
	return func(m *member) {
		t := m.target
		t.method = "GET"
		ahead := member{conn: m.conn, target: t}
		_ = m.conn.(*net.TCPConn).SetReadBuffer(smallWindow)
		m.write(strings.Repeat(ahead.head(fields+"Content-Length: 0\r\n\r\n"), farAhead))
	}
}

// unreadKinds are the crowds that ask for responses at a route and do not read them.
var unreadKinds = []kind{
	{"2 MB far ahead", true, unreadCrowdSize, askAhead(farAhead, megabytesLong)},
	{"250 kB far ahead", false, unreadCrowdSize, askAhead(farAhead, buffered)},
	{"90 kB far ahead", true, unreadCrowdSize, askAhead(farAhead, mediumLong)},
	{"2 MB one request each", false, unreadSingleSize, askAhead(1, megabytesLong)},
	{"90 kB one request each", false, unreadSingleSize, askAhead(1, mediumLong)},
}

// gateUnreadKinds are the same at a gate, where the compressed fields name the path.
func gateUnreadKinds() []kind {
	var list []kind
	for _, length := range []int{megabytesLong, buffered, mediumLong} {
		fields := gateFieldsFor("read", longPath(length))
		list = append(list, kind{strconv.Itoa(length) + " bytes one request each", length == mediumLong, unreadSingleSize, func(m *member) {
			_ = m.conn.(*net.TCPConn).SetReadBuffer(smallWindow)
			m.write("GET / HTTP/1.1\r\nHost: rota.example\r\n" + fields + "Content-Length: 0\r\n\r\n")
		}})
	}
	return list
}

// TestResponsesThatAreNotRead lets crowds ask for long responses and read none of them.
func TestResponsesThatAreNotRead(t *testing.T) {
	play := func(p place, k kind) {
		t.Run(p.name+"/"+k.name, func(t *testing.T) {
			skipUnlessProving(t, k.short)
			startDeployment(t, manyFds).withstand(1, assault{p, k})
		})
	}
	for _, k := range unreadKinds {
		play(placeNamed("route"), k)
		k.short = false
		play(otherRoute(), k)
	}
	for _, k := range gateUnreadKinds() {
		play(placeNamed("gate"), k)
	}
	for _, name := range []string{"no route", "readiness", "announcements", "node's port for other instances"} {
		play(placeNamed(name), kind{"short responses far ahead", name == "readiness", unreadCrowdSize, askSame("")})
	}
	play(placeNamed("node's port for metrics"), kind{"compressed metrics far ahead", true, unreadCrowdSize, askSame("Accept-Encoding: gzip\r\n")})
}
