package cell

import "sequoiastall/internal/core/resource"

// The capacity of a worker may change while tasks run on it. After its capacity has shrunk, a worker may be overcommitted:
// what runs there goes on, and the worker gets no new work.

// setCapacity applies the capacity that a worker reports. The capacity in w.WorkerReport is still the former one.
func (s *Scheduler) setCapacity(w *worker, capacity resource.Vector) {
	if w.Capacity == capacity {
		return
	}
	used := w.Capacity.Sub(w.free)
	w.free, w.freed, s.changed = capacity.Sub(used), true, true
	if w.Address == "" {
		return // the worker's first report
	}
	s.events.LogDecision(string(w.ID), "worker capacity changed", "runs", len(w.tasks), "overcommitted", w.free.HasNegative(),
		"mcpu", capacity.MilliCPU, "mcpu_before", w.Capacity.MilliCPU, "mcpu_used", used.MilliCPU,
		"mem_mb", capacity.MemoryMB, "mem_mb_before", w.Capacity.MemoryMB, "mem_mb_used", used.MemoryMB,
		"gpu", capacity.Accelerators, "gpu_before", w.Capacity.Accelerators, "gpu_used", used.Accelerators)
}
