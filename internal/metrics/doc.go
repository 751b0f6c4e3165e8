// Package metrics exposes the state of a process to Prometheus. All values are
// read when they are scraped, so that the roles do not depend on this package.
package metrics
