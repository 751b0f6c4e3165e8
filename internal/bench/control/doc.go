// Package control measures the control group: commit latency against a plain synced file, the time without a leader,
// restarts, disk use and idle cost. The instances run in this process and talk over loopback.
package control
