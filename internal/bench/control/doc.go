// Package control measures the control group: commit latency compared with a single synced file, the time without a
// leader, restarts, disk use and idle cost. The instances run in this process and communicate over loopback.
package control
