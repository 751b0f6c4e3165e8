package admin

import (
	"bytes"
	"net/http"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"

	"samphireflow/internal/resources"
)

// metricsHandler serves the metrics as text. It has one text at a time in memory beside those that wait for their clients, for
// which their connections hold memory. It does not compress: each compressor would take most of a megabyte.
type metricsHandler struct {
	registry prometheus.Gatherer

	// gathering is held while a text is made.
	gathering sync.Mutex
}

func newMetricsHandler(registry prometheus.Gatherer) *metricsHandler {
	return &metricsHandler{registry: registry}
}

// ServeHTTP implements http.Handler.
func (h *metricsHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	format := expfmt.NegotiateAccept(r.Header, expfmt.DefaultAcceptedFormats()...)
	text, err := h.gather(r, format)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", string(format))
	// The client may have left.
	_, _ = w.Write(text)
}

// gather returns the metrics in a format. The connection of the request holds memory for them.
func (h *metricsHandler) gather(r *http.Request, format expfmt.Format) ([]byte, error) {
	h.gathering.Lock()
	defer h.gathering.Unlock()
	families, err := h.registry.Gather()
	if err != nil {
		return nil, err
	}
	var text bytes.Buffer
	encoder := expfmt.NewEncoder(&text, format)
	for _, family := range families {
		if err := encoder.Encode(family); err != nil {
			return nil, err
		}
	}
	if closer, ok := encoder.(expfmt.Closer); ok {
		if err := closer.Close(); err != nil {
			return nil, err
		}
	}
	if err := resources.MemoryOf(r.Context()).Add(int64(text.Cap())); err != nil {
		return nil, err
	}
	return text.Bytes(), nil
}
