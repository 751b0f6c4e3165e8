package main

import (
	"runtime/debug"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHeapIsLimited guards against a process that is ended for its garbage: without a limit the collector lets the heap grow
// to twice of what is in use.
func TestHeapIsLimited(t *testing.T) {
	const unlimited = -1
	before := debug.SetMemoryLimit(unlimited)
	defer debug.SetMemoryLimit(before)
	limitHeap(0)
	require.Equal(t, before, debug.SetMemoryLimit(unlimited))
	limitHeap(280)
	require.EqualValues(t, 176_000_000, debug.SetMemoryLimit(unlimited))
}
