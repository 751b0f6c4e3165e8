// Package metrics exposes the state of a process to Prometheus. Gauges are read when they are scraped, so that
// the roles need not know about metrics.
package metrics
