// Package memorytest measures memory. It is used by tests only.
package memorytest

import "runtime"

// HeapBytes returns the size of the heap in bytes after a collection.
func HeapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
