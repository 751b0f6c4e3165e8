package main

import "runtime/debug"

const (
	// megabyte is the unit of the memory limit, in bytes. Of the two in use it is the smaller one.
	megabyte = 1_000_000
	// kernelShare is the share of the memory limit that is left for what the kernel keeps for connections: at most what
	// connections may hold at all.
	kernelShare = 0.3
	// programBytes is left for the program itself and the stacks of its threads, in bytes.
	programBytes = 20 * megabyte
	// minHeapShare is the least share of the memory limit that the heap may have.
	minHeapShare = 0.3
)

// limitHeap lets the garbage collector keep the process below a memory limit in MB, where that is possible; 0 means no limit.
// Otherwise the heap may grow to twice of what is in use.
func limitHeap(limitMB int) {
	if limitMB > 0 {
		limit := float64(limitMB) * megabyte
		debug.SetMemoryLimit(int64(max((1-kernelShare)*limit-programBytes, minHeapShare*limit)))
	}
}
