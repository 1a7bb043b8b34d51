package telemetry

import (
	"bytes"
	"os"
	"runtime"
	"runtime/metrics"
	"strconv"
	"syscall"
)

// Names of the gauges of the process.
const (
	ProcessCPU        = "process_cpu_us" // user and system time since the start
	ProcessRSS        = "process_resident_bytes"
	ProcessHeap       = "process_heap_bytes"      // live and not yet swept objects
	ProcessAllocated  = "process_allocated_bytes" // since the start
	ProcessGoroutines = "process_goroutines"
)

// ExposeProcess adds gauges of the process's CPU time, memory and goroutines, which are updated at each exposition.
func (r *Registry) ExposeProcess() {
	cpu, rss := r.Gauge(ProcessCPU), r.Gauge(ProcessRSS)
	heap, allocated, goroutines := r.Gauge(ProcessHeap), r.Gauge(ProcessAllocated), r.Gauge(ProcessGoroutines)
	r.Collect(func() {
		cpu.Update(processorTime())
		rss.Update(residentBytes())
		samples := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}, {Name: "/gc/heap/allocs:bytes"}}
		metrics.Read(samples)
		heap.Update(int64(samples[0].Value.Uint64()))
		allocated.Update(int64(samples[1].Value.Uint64()))
		goroutines.Update(int64(runtime.NumGoroutine()))
	})
}

// processorTime returns the process's user and system time in microseconds, 0 if it can't be read.
func processorTime() int64 {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return (usage.Utime.Nano() + usage.Stime.Nano()) / 1000
}

// residentBytes returns the process's resident memory, 0 if it can't be read.
func residentBytes() int64 {
	const resident = 1 // field of statm, in pages
	data, err := os.ReadFile("/proc/self/statm")
	fields := bytes.Fields(data)
	if err != nil || len(fields) <= resident {
		return 0
	}
	pages, err := strconv.ParseInt(string(fields[resident]), 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}
