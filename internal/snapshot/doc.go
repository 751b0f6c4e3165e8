// Package snapshot builds what a node acts on: the services, routes and resources of one failure domain at one
// configuration version, their closure check, digest and deltas. It is pure.
package snapshot
