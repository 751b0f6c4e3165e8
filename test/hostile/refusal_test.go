package hostile_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// longBodyBytes is the length of a long body of an ordinary request, in bytes: far less than the largest that is legal.
const longBodyBytes = 2_000_000

// TestRefusalsUnderACrowdAreTrue lets ordinary callers send requests that must not run twice while a crowd fills the memory of
// the node. No request that was refused with the promise that it has not run reaches the backend server.
func TestRefusalsUnderACrowdAreTrue(t *testing.T) {
	d := startDeployment(t, manyFds)
	crowds := startCrowds([]assault{{placeNamed("route"), unreadKinds[0]}, {placeNamed("gate"), gateUnreadKinds()[2]}})
	const callers, requests = 80, 25
	// Short bodies find memory in such a crowd; the long ones are refused.
	bodies := []string{"crew", strings.Repeat("x", longBodyBytes)}
	var refused sync.Map
	var sending sync.WaitGroup
	for caller := range callers {
		sending.Go(func() {
			for i := range requests {
				id := fmt.Sprintf("ordinary-%d-%d", caller, i)
				node, body := []int{attackedNode, otherNode}[i%2], bodies[caller%2]
				switch call("POST", addrOf(node, outboundPort), "/book/1", body, "Host", "rota.example", "X-Attempt-Id", id, "X-Deadline-Ms", "2000") {
				case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
					refused.Store(id, true)
				}
			}
		})
	}
	sending.Wait()
	dismissAll(crowds)
	d.requireAlive()
	count := 0
	for id := range refused.Range {
		count++
		_, ran := d.ran.Load(id)
		require.False(t, ran, "%s ran although its refusal says that it did not", id)
	}
	t.Logf("%d of %d requests were refused", count, callers*requests)
}
