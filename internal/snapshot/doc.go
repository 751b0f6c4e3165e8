// Package snapshot builds and compares snapshots. A snapshot is the configuration that a node applies: the services,
// routes, resources and assignments of one failure domain at one configuration version. The package checks, filters and
// digests snapshots and computes the deltas between them. It does no I/O.
package snapshot
