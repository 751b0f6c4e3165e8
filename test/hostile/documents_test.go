package hostile_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLongDocumentsThatAreNotRead lets a crowd ask a control instance for a configuration of many routes and read none of it.
func TestLongDocumentsThatAreNotRead(t *testing.T) {
	const routes = 3000
	rows := make([]string, routes)
	for i := range rows {
		rows[i] = fmt.Sprintf(`["r%d","rota.example","/r%d/","safe",60,30,1,"rota",2]`, i, i)
	}
	document := strings.Replace(configDocument, `"Rows":[`, `"Rows":[`+strings.Join(rows, ",")+",", 1)
	document = strings.Replace(document, "00000004", "00000005", 1)
	for _, k := range []kind{
		{"far ahead", true, unreadCrowdSize, askSame("")},
		{"HTTP/2 responses without a window", true, http2CrowdSize, http2Kinds[0].misbehave},
	} {
		t.Run(k.name, func(t *testing.T) {
			d := startDeployment(t, manyFds)
			require.True(t, d.waitFor(func() bool {
				return call("PUT", addrOf(controlInstance, controlPort), "/-/config", document, "If-Match", "00000004", "Content-Type", "application/json") == 200
			}), "the long configuration is accepted")
			require.True(t, d.waitFor(func() bool { return ordinaryCall(attackedNode) && ordinaryCall(otherNode) }))
			assaults := []assault{{placeNamed("operators"), k}}
			g := d.watch()
			crowds := startCrowds(assaults)
			g.endServed(crowds, assaults)
		})
	}
}

// TestLongDocumentsSentAtOnce lets a crowd send whole configurations of nearly the largest legal size at once, each on top of a
// version that is not current.
func TestLongDocumentsSentAtOnce(t *testing.T) {
	const documentBytes = 3_900_000
	var rows strings.Builder
	for i := 0; rows.Len() < documentBytes; i++ {
		fmt.Fprintf(&rows, `["r%d","rota.example","/r%d/","safe",60,30,1,"rota",2],`, i, i)
	}
	document := strings.Replace(configDocument, `"Rows":[`, `"Rows":[`+rows.String(), 1)
	k := kind{"long documents", true, smallCrowdSize, func(m *member) {
		m.writeWhole(m.head(fmt.Sprintf("If-Match: 00000001\r\nContent-Length: %d\r\n\r\n", len(document))) + document)
	}}
	p := placeNamed("operators")
	p.target.fields = "Content-Type: application/json\r\n"
	startDeployment(t, manyFds).withstand(1, assault{p, k})
}
