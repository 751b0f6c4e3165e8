// Package distribution tests with real processes that configuration reaches every node and that no node returns to an
// older version. The tests run under `make prove`.
package distribution
