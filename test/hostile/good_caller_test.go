package hostile_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// zeros is an endless body. A reader of it has no length, so that it is sent in chunks.
type zeros struct{}

func (zeros) Read(buffer []byte) (int, error) {
	clear(buffer)
	return len(buffer), nil
}

// TestLargestLegalRequestsAreServedInCalm sends single requests at the limits for callers: the longest body with its length and
// in chunks, at the node beside the backend server and at another one, and the longest header, of short fields. All are served,
// and the processes keep within their memory.
func TestLargestLegalRequestsAreServedInCalm(t *testing.T) {
	d := startDeployment(t, manyFds)
	samplers := map[int]*usageSampler{}
	for _, i := range []int{attackedNode, otherNode} {
		samplers[i] = startSampler(d.processes[i].command.Process.Pid, ipOf(i))
	}
	// The client sends a space in each field, by which the header becomes longer than that of the crowds.
	fields := shortFields()[:legalHeadBytes*3/4]
	fields = fields[:strings.LastIndex(fields, "\r\n")]
	patient := &http.Client{Timeout: eventTimeout}
	send := func(node int, body io.Reader, length int64, fields string) int {
		request, err := http.NewRequest(http.MethodPost, "http://"+addrOf(node, outboundPort)+"/book/1", body)
		require.NoError(t, err)
		request.Host, request.ContentLength = "rota.example", length
		for _, field := range strings.Split(strings.TrimSpace("X-Attempt-Id: 1\r\nX-Deadline-Ms: 60000\r\n"+fields), "\r\n") {
			name, value, _ := strings.Cut(field, ":")
			request.Header.Set(name, strings.TrimSpace(value))
		}
		started := time.Now()
		response, err := patient.Do(request)
		require.NoError(t, err, "after %s", time.Since(started))
		defer response.Body.Close()
		return response.StatusCode
	}
	for _, node := range []int{attackedNode, otherNode} {
		require.Equal(t, http.StatusOK, send(node, io.LimitReader(zeros{}, largeBodyBytes), largeBodyBytes, ""))
		require.Equal(t, http.StatusOK, send(node, io.LimitReader(zeros{}, largeBodyBytes), -1, ""))
		require.Equal(t, http.StatusOK, send(node, strings.NewReader("body"), 4, fields))
	}
	for i, sampler := range samplers {
		peak := sampler.end()
		t.Log(peak)
		require.Less(t, peak.residentMB+peak.unreadMB, memoryMB, "memory in MB of instance %d", i)
	}
}

// TestLongResponseReadSlowlyInCalm reads a single response of several megabytes in small parts with pauses, at the node beside
// the backend server and at another one.
func TestLongResponseReadSlowlyInCalm(t *testing.T) {
	d := startDeployment(t, manyFds)
	g := d.watch()
	const partBytes = 64 << 10
	patient := &http.Client{Timeout: eventTimeout, Transport: &http.Transport{ReadBufferSize: smallWindow}}
	for _, node := range []int{attackedNode, otherNode} {
		request, err := http.NewRequest(http.MethodGet, "http://"+addrOf(node, outboundPort)+longPath(2*megabytesLong), nil)
		require.NoError(t, err)
		request.Host = "rota.example"
		request.Header.Set("X-Attempt-Id", "1")
		request.Header.Set("X-Deadline-Ms", "60000")
		response, err := patient.Do(request)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
		read := 0
		for part := make([]byte, partBytes); ; {
			n, err := io.ReadFull(response.Body, part)
			read += n
			if err != nil {
				break
			}
			time.Sleep(pollInterval)
		}
		require.NoError(t, response.Body.Close())
		require.Equal(t, 2*megabytesLong, read)
	}
	d.requireAlive()
	g.check()
}
