// Package distribution proves with real processes that configuration reaches every node and never goes back. It runs
// under `make prove`.
package distribution
