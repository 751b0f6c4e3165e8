package tracing

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace"
)

const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

// span holds the fields that the tests read of a span in the file exporter's output.
type span struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
}

// recordSpans starts recording spans. The returned function stops the recording and returns the spans.
func recordSpans(t *testing.T, ratio float64) func() []span {
	t.Helper()
	name := filepath.Join(t.TempDir(), "spans.jsonl")
	shutdown, err := Setup(context.Background(), Options{Exporter: ExporterFile, Target: name, SampleRatio: ratio, Role: "node", Instance: "n1"})
	require.NoError(t, err)
	t.Cleanup(func() { enabled.Store(false) })
	return func() []span {
		require.NoError(t, shutdown())
		text, err := os.ReadFile(name)
		require.NoError(t, err)
		var spans []span
		for line := range bytes.Lines(text) {
			var next span
			require.NoError(t, json.Unmarshal(line, &next))
			spans = append(spans, next)
		}
		return spans
	}
}

// forwardingServer returns a server that forwards each request to next, as a node does.
func forwardingServer(t *testing.T, next string) *httptest.Server {
	client := &http.Client{Transport: Transport(http.DefaultTransport)}
	server := httptest.NewServer(Handler("node", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, err := http.NewRequestWithContext(r.Context(), r.Method, next, nil)
		require.NoError(t, err)
		request.Header = r.Header.Clone()
		response, err := client.Do(request)
		require.NoError(t, err)
		defer func() { _ = response.Body.Close() }()
		w.WriteHeader(response.StatusCode)
	})))
	t.Cleanup(server.Close)
	return server
}

// newBackend returns a server, and a channel with the trace context of its request.
func newBackend(t *testing.T) (*httptest.Server, <-chan string) {
	received := make(chan string, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		received <- r.Header.Get(headerTraceparent)
	}))
	t.Cleanup(server.Close)
	return server, received
}

func get(t *testing.T, url, traceparent string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, url, nil)
	require.NoError(t, err)
	if traceparent != "" {
		request.Header.Set(headerTraceparent, traceparent)
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
}

func TestHopsRecordSpansInTheCallersTrace(t *testing.T) {
	spans := recordSpans(t, 0)
	server, received := newBackend(t)
	get(t, forwardingServer(t, server.URL).URL, parent)
	forwarded := <-received
	list := spans()
	require.Len(t, list, 2)
	sent, served := list[0], list[1]
	require.Equal(t, "send GET", sent.Name)
	require.Equal(t, "node GET", served.Name)
	require.Equal(t, "0af7651916cd43dd8448eb211c80319c", served.SpanContext.TraceID)
	require.Equal(t, "b7ad6b7169203331", served.Parent.SpanID)
	require.Equal(t, served.SpanContext.SpanID, sent.Parent.SpanID)
	require.Equal(t, "00-"+sent.SpanContext.TraceID+"-"+sent.SpanContext.SpanID+"-01", forwarded)
}

func TestSampleRatioAppliesToNewTraces(t *testing.T) {
	for sample, want := range map[float64]int{0: 0, 1: 2} {
		spans := recordSpans(t, sample)
		server, got := newBackend(t)
		get(t, forwardingServer(t, server.URL).URL, "")
		require.NotEmpty(t, <-got, "the trace context is forwarded even if the trace is not recorded")
		require.Len(t, spans(), want)
	}
}

func TestTraceContextIsForwardedWithoutExporter(t *testing.T) {
	shutdown, err := Setup(context.Background(), Options{Exporter: ExporterNone})
	require.NoError(t, err)
	server, got := newBackend(t)
	get(t, forwardingServer(t, server.URL).URL, parent)
	require.Equal(t, parent, <-got)
	require.NoError(t, shutdown())
}

func TestTracedOnlyRecordsNoSpanWithoutTraceContext(t *testing.T) {
	spans := recordSpans(t, 1)
	valid := make(chan bool, 1)
	handler := TracedOnly("control", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		valid <- trace.SpanContextFromContext(r.Context()).IsValid()
	}))
	handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", nil))
	require.False(t, <-valid)
	request := httptest.NewRequest(http.MethodPost, "/", nil)
	request.Header.Set(headerTraceparent, parent)
	handler.ServeHTTP(httptest.NewRecorder(), request)
	require.True(t, <-valid)
	require.Len(t, spans(), 1)
}

func TestSpansAreSentToTheCollector(t *testing.T) {
	bodies := make(chan []byte, 1)
	paths := make(chan string, 1)
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		paths <- r.URL.Path
		bodies <- body
	}))
	defer collector.Close()
	options := Options{Exporter: ExporterOTLP, Target: collector.URL + "/v1/traces", SampleRatio: 1, Role: "node", Instance: "n1"}
	shutdown, err := Setup(context.Background(), options)
	require.NoError(t, err)
	defer enabled.Store(false)
	Handler("node", http.NotFoundHandler()).ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/x", nil))
	require.NoError(t, shutdown())
	require.Equal(t, "/v1/traces", <-paths)
	require.Contains(t, string(<-bodies), "node GET")
}

func TestSetupFailsWhenTargetCannotBeOpened(t *testing.T) {
	_, err := Setup(context.Background(), Options{Exporter: ExporterFile, Target: filepath.Join(t.TempDir(), "none", "file")})
	require.Error(t, err)
}
