// Package deployment runs a complete deployment of samphireflow as separate processes on the loopback interface.
//
// It starts control instances, nodes and simulated backend servers from a Layout, writes a Manifest of the running
// processes, stops them, and runs the demo.
package deployment
