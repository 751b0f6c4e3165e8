package hostile_test

import (
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"samphireflow/internal/calls"
	"samphireflow/internal/hop"
)

// place is an address where a crowd comes, with the process that it belongs to and an ordinary request to it.
type place struct {
	name     string
	instance int
	target   target
	ordinary func(d *deployment) bool
}

// gateFields returns the compressed fields of a call that another node forwards to the gate.
func gateFields() string { return gateFieldsFor("book", "/book/1") }

func gateFieldsFor(route, path string) string {
	header := http.Header{}
	calls.HopMetadata{Server: "i-2", Route: route, Objective: time.Minute, Deadline: time.Minute, FinishBy: time.Minute}.Write(header)
	return hop.HeaderName + ": " + hop.NewEncoder().Encode(hop.Fields{Target: path, Host: "rota.example", Header: header}) + "\r\n"
}

func places() []place {
	served := func(*deployment) bool { return ordinaryCall(attackedNode) }
	return []place{
		{"route", attackedNode, target{addrOf(attackedNode, outboundPort), "POST", "/book/1", ""}, served},
		{"no route", attackedNode, target{addrOf(attackedNode, outboundPort), "POST", "/nowhere/1", ""}, served},
		{"readiness", attackedNode, target{addrOf(attackedNode, readyPort), "GET", "/-/readyz", ""},
			func(*deployment) bool { return call("GET", addrOf(attackedNode, readyPort), "/-/readyz", "") == 200 }},
		{"announcements", attackedNode, target{addrOf(attackedNode, controlPort), "PUT", "/-/instances/i-9", ""},
			func(d *deployment) bool { return d.announce() }},
		{"gate", attackedNode, target{addrOf(attackedNode, inboundPort), "POST", "/", gateFields()},
			func(*deployment) bool { return ordinaryCall(otherNode) }},
		{"node's port for other instances", attackedNode, target{internalAddrOf(attackedNode, 0), "POST", "/twirp/samphireflow.v1.Traffic/Suspect", "Content-Type: application/protobuf\r\n"}, served},
		{"node's port for metrics", attackedNode, target{internalAddrOf(attackedNode, 1), "GET", "/metrics", ""},
			func(*deployment) bool { return call("GET", internalAddrOf(attackedNode, 1), "/metrics", "") == 200 }},
		{"operators", controlInstance, target{addrOf(controlInstance, controlPort), "PUT", "/-/config", "If-Match: 00000004\r\nContent-Type: application/json\r\n"},
			func(*deployment) bool {
				return call("GET", addrOf(controlInstance, controlPort), "/-/config", "") == 200
			}},
		{"control instance's port for other instances", controlInstance, target{addrOf(controlInstance, controlPort), "POST", "/twirp/samphireflow.v1.Replication/Step", "Content-Type: application/protobuf\r\n"},
			func(*deployment) bool {
				return call("GET", addrOf(controlInstance, controlPort), "/-/config", "") == 200
			}},
	}
}

// TestMisbehavingCallers sends each kind of crowd to each address of a deployment. While the crowd stays, the process must live,
// keep within the memory and the descriptors of its instance, and answer an ordinary request at the same address and an ordinary
// call.
func TestMisbehavingCallers(t *testing.T) {
	for _, p := range places() {
		for _, k := range kinds {
			t.Run(p.name+"/"+k.name, func(t *testing.T) {
				if !k.short && os.Getenv("SAMPHIREFLOW_PROVE") == "" {
					t.Skip("set SAMPHIREFLOW_PROVE=1 to run all kinds")
				}
				run(t, p, k, fewFds)
			})
		}
	}
}

// TestMisbehavingCallersWithinTheDescriptors sends crowds that an instance has descriptors enough for, so that only its memory
// bounds them.
func TestMisbehavingCallersWithinTheDescriptors(t *testing.T) {
	for _, p := range places() {
		for _, k := range kinds {
			if k.size != crowdSize || p.name == "node's port for metrics" {
				continue
			}
			k.size = largeCrowdSize
			t.Run(p.name+"/"+k.name, func(t *testing.T) {
				if os.Getenv("SAMPHIREFLOW_PROVE") == "" {
					t.Skip("set SAMPHIREFLOW_PROVE=1 to run crowds of many connections")
				}
				run(t, p, k, manyFds)
			})
		}
	}
}

// run sends a crowd to a place of a new deployment and checks what must hold while it stays.
func run(t *testing.T, p place, k kind, maxFds int) {
	d := startDeployment(t, maxFds)
	attacked := d.processes[p.instance]
	host, _, err := net.SplitHostPort(p.target.addr)
	require.NoError(t, err)
	sampler := startSampler(attacked.command.Process.Pid, host)
	crowd := startCrowd(k.size, p.target, k.misbehave)
	answered := d.waitFor(func() bool { return p.ordinary(d) }) && d.waitFor(func() bool { return ordinaryCall(attackedNode) })
	peak := sampler.end()
	crowd.dismiss()
	t.Log(peak)
	require.True(t, attacked.alive(), "the process has ended")
	assert.True(t, answered, "an ordinary request is answered")
	assert.Less(t, peak.residentMB+peak.unreadMB, memoryMB, "memory in MB")
	assert.Less(t, peak.descriptors, maxFds-reservedFds, "descriptors; without a free one the process opens no connection to the backend server")
}
