package proxy

import (
	"net/http"
	"strconv"
	"strings"
)

// headerGrant holds a grantRequest in a request to a gate, as "<node> <held> <wanted>", and the number of granted
// connections in the gate's response.
const headerGrant = "Samphireflow-Grant"

// grantRequest is the request of a node for a grant of connections to a backend server.
type grantRequest struct {
	node string
	// held is the number of connections that the node's current grant permits, want the number that it could use.
	held int
	want int
}

func (g grantRequest) setHeader(header http.Header) {
	header.Set(headerGrant, g.node+" "+strconv.Itoa(g.held)+" "+strconv.Itoa(g.want))
}

// readGrantRequest parses the request of another node. It reports false if the header is missing or malformed.
func readGrantRequest(header http.Header) (grantRequest, bool) {
	parts := strings.Split(header.Get(headerGrant), " ")
	if len(parts) != 3 || parts[0] == "" || len(parts[0]) > maxKeyBytes {
		return grantRequest{}, false
	}
	held, err := strconv.Atoi(parts[1])
	if err != nil || held < 0 {
		return grantRequest{}, false
	}
	want, err := strconv.Atoi(parts[2])
	if err != nil || want < 0 {
		return grantRequest{}, false
	}
	return grantRequest{node: parts[0], held: held, want: want}, true
}

// readGrant returns the number of connections that a gate has granted, or 0 if the header is missing or malformed.
func readGrant(header http.Header) int {
	count, err := strconv.Atoi(header.Get(headerGrant))
	if err != nil || count < 0 {
		return 0
	}
	return count
}
