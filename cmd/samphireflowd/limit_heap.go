package main

import "runtime/debug"

// heapShare is the share of the memory limit of a process from which on the garbage collector works harder. The rest is for
// the program itself, the stacks of threads, and what is allocated during a collection.
const heapShare = 0.75

// limitHeap lets the garbage collector keep the process below a memory limit in MB, where that is possible; 0 means no limit.
// Otherwise the heap may grow to twice of what is in use.
func limitHeap(limitMB int) {
	if limitMB > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(limitMB) * (1 << 20)))
	}
}
