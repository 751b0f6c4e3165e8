// Package deployment runs a whole deployment of samphireflow on the loopback interface as separate processes.
//
// It starts control instances, nodes and stand-in backend servers from a Layout, writes a Manifest of what runs, ends
// it again, and drives the demo.
package deployment
