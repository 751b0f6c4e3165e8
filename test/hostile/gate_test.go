package hostile_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"samphireflow/internal/calls"
	"samphireflow/internal/hop"
)

const (
	// expandingFields is the number of fields that a compressed header of legal length stands for: a byte for each.
	expandingFields = 100_000
	// expandingCrowdSize is the number of connections that send such headers.
	expandingCrowdSize = 100
	// unreadBodyCrowdSize is less than the slots of the backend server, so that ordinary calls find some.
	unreadBodyCrowdSize = 40
)

// TestCompressedFieldsThatExpand lets a crowd send calls to the gate whose compressed fields stand for very many short ones, and
// stop short of the end of the body.
func TestCompressedFieldsThatExpand(t *testing.T) {
	header := http.Header{"F": make([]string, expandingFields)}
	calls.HopMetadata{Server: "i-2", Route: "book", Objective: time.Minute, Deadline: time.Minute, FinishBy: time.Minute}.Write(header)
	fields := hop.HeaderName + ": " + hop.NewEncoder().Encode(hop.Fields{Target: "/book/1", Host: "rota.example", Header: header}) + "\r\n"
	k := kind{"fields that expand", true, expandingCrowdSize, func(m *member) {
		m.writeWhole("POST / HTTP/1.1\r\nHost: rota.example\r\n" + fields + "Content-Length: 10\r\n\r\nbody")
	}}
	startDeployment(t, manyFds).withstand(1, assault{placeNamed("gate"), k})
}

// TestBodiesThatTheBackendServerDoesNotRead lets crowds send long bodies to a backend server that does not read them.
func TestBodiesThatTheBackendServerDoesNotRead(t *testing.T) {
	for _, p := range []place{placeNamed("route"), otherRoute()} {
		t.Run(p.name, func(t *testing.T) {
			skipUnlessProving(t, p.name == "route")
			k := kind{"bodies that are not read", true, unreadBodyCrowdSize, func(m *member) {
				t := m.target
				t.path = "/book/unread"
				sender := member{conn: m.conn, target: t}
				if m.write(sender.head("Content-Length: 67108864\r\n\r\n")) {
					sender.write(strings.Repeat("x", largeSentBytes))
				}
			}}
			startDeployment(t, manyFds).withstand(1, assault{p, k})
		})
	}
}
