package rpcbytes

import (
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
)

const (
	// twirpPrefix starts the path of each twirp method.
	twirpPrefix = "/twirp/"
	// other stands for all requests that are not for a twirp method of this project.
	other = "other"
	// connections stands for all bytes of the connections.
	connections = "connections"
)

// Traffic is a number of bytes in each direction, as seen by the server.
type Traffic struct {
	Received, Sent uint64
}

// directions counts bytes in each direction.
type directions struct {
	received, sent atomic.Uint64
}

// Counter counts the bytes of one address. It is safe for concurrent use and is a prometheus.Collector.
//
// Invariant: byMethod is not modified after New, so that clients cannot add entries by the paths that they send.
type Counter struct {
	byMethod map[string]*directions
}

// New returns a counter for all twirp methods of the project.
func New() *Counter {
	c := &Counter{byMethod: map[string]*directions{other: {}, connections: {}}}
	protoregistry.GlobalFiles.RangeFiles(func(file protoreflect.FileDescriptor) bool {
		services := file.Services()
		for i := range services.Len() {
			methods := services.Get(i).Methods()
			for j := range methods.Len() {
				c.byMethod[string(services.Get(i).FullName())+"/"+string(methods.Get(j).Name())] = &directions{}
			}
		}
		return true
	})
	return c
}

// Handler counts the bodies of the requests that it passes to next, and of their responses.
func (c *Counter) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		counts := c.byMethod[strings.TrimPrefix(r.URL.Path, twirpPrefix)]
		if counts == nil {
			counts = c.byMethod[other]
		}
		r.Body = countingBody{r.Body, &counts.received}
		next.ServeHTTP(&countingWriter{w, &counts.sent}, r)
	})
}

// Totals returns the traffic since the start: by twirp method, of other requests as "other", and of all connections as
// "connections". Methods without traffic are left out.
func (c *Counter) Totals() map[string]Traffic {
	totals := make(map[string]Traffic, len(c.byMethod))
	for method, counts := range c.byMethod {
		if t := (Traffic{counts.received.Load(), counts.sent.Load()}); t != (Traffic{}) {
			totals[method] = t
		}
	}
	return totals
}

var bytesDescription = prometheus.NewDesc("samphireflow_control_address_bytes_total",
	"Bytes at the control address: of bodies by method, and of all connections as the method connections.",
	[]string{"method", "direction"}, nil)

// Describe implements prometheus.Collector.
func (c *Counter) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- bytesDescription
}

// Collect implements prometheus.Collector.
func (c *Counter) Collect(metrics chan<- prometheus.Metric) {
	for method, t := range c.Totals() {
		metrics <- prometheus.MustNewConstMetric(bytesDescription, prometheus.CounterValue, float64(t.Received), method, "received")
		metrics <- prometheus.MustNewConstMetric(bytesDescription, prometheus.CounterValue, float64(t.Sent), method, "sent")
	}
}
