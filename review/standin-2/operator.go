package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Route is a route of a configuration.
type Route struct {
	Name, Host, Prefix, Kind string
	TimeoutS, TargetLatencyS float64
	Priority, MaxAttempts    int
	// Service is nil for a null.
	Service any
	Split   any
}

// Config returns the body of a configuration.
func Config(version int, routes []Route, services ...string) string {
	rows := [][]any{}
	for _, r := range routes {
		rows = append(rows, []any{r.Name, r.Host, r.Prefix, r.Kind, r.TimeoutS, r.TargetLatencyS, r.Priority, r.Split, r.MaxAttempts, r.Service})
	}
	serviceRows := [][]any{}
	for _, s := range services {
		serviceRows = append(serviceRows, []any{s, "/health", 130, "h1", false})
	}
	body, _ := json.Marshal(map[string]any{
		"Version":  fmt.Sprintf("%08x", version),
		"Routes":   map[string]any{"Columns": []string{"Name", "Host", "PathPrefix", "Kind", "TimeoutS", "TargetLatencyS", "Priority", "TrafficSplit", "MaxAttempts", "Service"}, "Rows": rows},
		"Services": map[string]any{"Columns": []string{"Name", "HealthPath", "MaxConnections", "Protocol", "Tls"}, "Rows": serviceRows},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutS": 3, "IdleTimeoutS": 15},
	})
	return string(body)
}

// PutConfig sends a configuration to a control instance and returns the status, 0 without an answer.
func (d *Deployment) PutConfig(to *Machine, base int, body string) int {
	request, err := http.NewRequest(http.MethodPut, "http://"+to.Addr(portAnnounce)+"/-/config", strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("If-Match", fmt.Sprintf("%08x", base))
	request.Close = true
	client := http.Client{Timeout: 2 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		d.record.Note("PUT /-/config on %08x at %s: no answer (%v)", base, to.Name, err)
		return 0
	}
	answer, _ := io.ReadAll(response.Body)
	response.Body.Close()
	d.record.Note("PUT /-/config on %08x at %s: %d %s", base, to.Name, response.StatusCode, strings.TrimSpace(string(answer)))
	return response.StatusCode
}

// PutFirstConfig sends the first configuration until it is accepted.
func (d *Deployment) PutFirstConfig(to *Machine, body string, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if d.PutConfig(to, 0, body) == http.StatusOK {
			return true
		}
	}
	return false
}
