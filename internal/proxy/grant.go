package proxy

import (
	"net/http"
	"strconv"
	"strings"
)

// headerGrant asks for connections on a request to a gate as "<node> <held> <wanted>" and carries the number that was
// granted on its answer.
const headerGrant = "Samphireflow-Grant"

// grantAsk is what a node asks of a gate.
type grantAsk struct {
	node string
	held int
	want int
}

func (a grantAsk) set(header http.Header) {
	header.Set(headerGrant, a.node+" "+strconv.Itoa(a.held)+" "+strconv.Itoa(a.want))
}

// readGrantAsk reads what another node asks. It reports false for a header that is missing or cannot be read.
func readGrantAsk(header http.Header) (grantAsk, bool) {
	parts := strings.Split(header.Get(headerGrant), " ")
	if len(parts) != 3 || parts[0] == "" || len(parts[0]) > maxKeyBytes {
		return grantAsk{}, false
	}
	held, err := strconv.Atoi(parts[1])
	if err != nil || held < 0 {
		return grantAsk{}, false
	}
	want, err := strconv.Atoi(parts[2])
	if err != nil || want < 0 {
		return grantAsk{}, false
	}
	return grantAsk{node: parts[0], held: held, want: want}, true
}

// readGrant reads the number of connections that a gate granted, 0 for none.
func readGrant(header http.Header) int {
	count, err := strconv.Atoi(header.Get(headerGrant))
	if err != nil || count < 0 {
		return 0
	}
	return count
}
