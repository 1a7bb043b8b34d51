// Package resource defines the quantities that a worker offers and a task reserves.
package resource

// Vector is an amount of each resource. The zero value is empty.
type Vector struct {
	Slots        int64 `json:"slots,omitempty"`        // concurrent units of work
	MilliCPU     int64 `json:"milli_cpu,omitempty"`    // thousandths of a core
	MemoryMB     int64 `json:"memory_mb,omitempty"`    // mebibytes
	Accelerators int64 `json:"accelerators,omitempty"` // whole devices
}

// Add returns the sum of v and w.
func (v Vector) Add(w Vector) Vector {
	return Vector{v.Slots + w.Slots, v.MilliCPU + w.MilliCPU, v.MemoryMB + w.MemoryMB, v.Accelerators + w.Accelerators}
}

// Sub returns v minus w. Components may become negative.
func (v Vector) Sub(w Vector) Vector {
	return Vector{v.Slots - w.Slots, v.MilliCPU - w.MilliCPU, v.MemoryMB - w.MemoryMB, v.Accelerators - w.Accelerators}
}

// Scale returns v multiplied by n.
func (v Vector) Scale(n int64) Vector {
	return Vector{v.Slots * n, v.MilliCPU * n, v.MemoryMB * n, v.Accelerators * n}
}

// MulDiv returns v*num/den, rounded towards 0. It returns the zero vector if den is 0.
func (v Vector) MulDiv(num, den int64) Vector {
	if den == 0 {
		return Vector{}
	}
	return Vector{v.Slots * num / den, v.MilliCPU * num / den, v.MemoryMB * num / den, v.Accelerators * num / den}
}

// Fits reports whether every component of v is at most that of capacity.
func (v Vector) Fits(capacity Vector) bool {
	return v.Slots <= capacity.Slots && v.MilliCPU <= capacity.MilliCPU &&
		v.MemoryMB <= capacity.MemoryMB && v.Accelerators <= capacity.Accelerators
}

// Max returns the component-wise maximum of v and w.
func (v Vector) Max(w Vector) Vector {
	return Vector{max(v.Slots, w.Slots), max(v.MilliCPU, w.MilliCPU), max(v.MemoryMB, w.MemoryMB), max(v.Accelerators, w.Accelerators)}
}

// Min returns the component-wise minimum of v and w.
func (v Vector) Min(w Vector) Vector {
	return Vector{min(v.Slots, w.Slots), min(v.MilliCPU, w.MilliCPU), min(v.MemoryMB, w.MemoryMB), min(v.Accelerators, w.Accelerators)}
}

// IsZero reports whether every component is 0.
func (v Vector) IsZero() bool { return v == Vector{} }

// HasNegative reports whether a component is below 0.
func (v Vector) HasNegative() bool {
	return v.Slots < 0 || v.MilliCPU < 0 || v.MemoryMB < 0 || v.Accelerators < 0
}

// DominantShare returns the largest fraction that v takes of a component of total, between 0 and 1 for v within total.
// Components of total that aren't positive are ignored.
func (v Vector) DominantShare(total Vector) float64 {
	share := 0.0
	for _, c := range [...][2]int64{
		{v.Slots, total.Slots}, {v.MilliCPU, total.MilliCPU}, {v.MemoryMB, total.MemoryMB}, {v.Accelerators, total.Accelerators},
	} {
		if c[1] > 0 {
			share = max(share, float64(c[0])/float64(c[1]))
		}
	}
	return share
}
