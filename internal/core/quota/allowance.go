package quota

import (
	"fmt"
	"maps"
	"math/bits"
	"slices"

	"sequoiastall/internal/core/resource"
)

// UnlimitedAmount is the amount of a component without a limit. Sums of a few thousand of them don't overflow.
const UnlimitedAmount int64 = 1 << 48

// Unlimited is the limit and the allowance of a team without a limit object.
var Unlimited = resource.Vector{
	Slots: UnlimitedAmount, MilliCPU: UnlimitedAmount, MemoryMB: UnlimitedAmount, Accelerators: UnlimitedAmount,
}

// LimitOf returns a team's limit from its limit object, bounded to the range from zero to Unlimited. It returns
// Unlimited for nil, which stands for a team without a limit object.
func LimitOf(limit *resource.Vector) resource.Vector {
	if limit == nil {
		return Unlimited
	}
	return limit.Max(resource.Vector{}).Min(Unlimited)
}

// Record divides a team's upper limit among partitions. It is the value of the store key allowance/<team>.
type Record struct {
	Team   string                     `json:"team"`
	Limit  resource.Vector            `json:"limit"`
	Parts  map[string]resource.Vector `json:"parts"`            // by partition
	Writer string                     `json:"writer,omitempty"` // node and sequence number of the last write, to detect a write whose answer was lost
	// Earlier are the writers of the writes before the last one, newest first. A write whose answer was lost may have
	// been followed by others before its writer sees the record again.
	Earlier []string `json:"earlier,omitempty"`
}

// maxEarlier bounds Earlier. A lost answer is noticed after 0.1 s, and a busy team's record is written some 20 times a
// second.
const maxEarlier = 16

// WrittenBy returns the record as the given writer's next write.
func (r Record) WrittenBy(writer string) Record {
	if r.Writer != "" {
		r.Earlier = append([]string{r.Writer}, r.Earlier...)
		r.Earlier = r.Earlier[:min(len(r.Earlier), maxEarlier)]
	}
	r.Writer = writer
	return r
}

// Includes reports whether the record includes a writer's write that was based on the record base. It is unknown if
// there were too many writes after base.
func (r Record) Includes(writer string, base Record) (included, known bool) {
	writers := append([]string{r.Writer}, r.Earlier...)
	if slices.Contains(writers, writer) {
		return true, true
	}
	if base.Writer == "" {
		return false, len(r.Earlier) < maxEarlier
	}
	return false, slices.Contains(writers, base.Writer)
}

// MoveError reports that an allowance can't be moved as requested; the record is unchanged.
type MoveError struct {
	Team, From, To string
	Amount, Part   resource.Vector // requested amount, and the part of partition From
	Reason         string
}

// Error implements error.
func (e *MoveError) Error() string {
	return fmt.Sprintf("allowance of team %s: can't move %+v from %q (which has %+v) to %q: %s",
		e.Team, e.Amount, e.From, e.Part, e.To, e.Reason)
}

// RecordError reports that a record violates an invariant.
type RecordError struct {
	Team, Reason string
}

// Error implements error.
func (e *RecordError) Error() string { return "allowance record of team " + e.Team + ": " + e.Reason }

// Initial returns a record that divides a limit equally among partitions. The remainder goes to the first partitions by
// name.
func Initial(team string, limit resource.Vector, partitions []string) Record {
	return Record{Team: team, Parts: map[string]resource.Vector{}}.WithLimit(limit, partitions)
}

// Move transfers an amount between partitions. It fails with *MoveError or *RecordError.
func (r Record) Move(from, to string, amount resource.Vector) (Record, error) {
	if err := r.Check(); err != nil {
		return Record{}, err
	}
	fail := func(reason string) (Record, error) {
		return Record{}, &MoveError{Team: r.Team, From: from, To: to, Amount: amount, Part: r.Parts[from], Reason: reason}
	}
	switch {
	case from == to:
		return fail("the partitions are the same")
	case to == "":
		return fail("no receiving partition")
	case amount.HasNegative():
		return fail("the amount is negative")
	case amount.IsZero():
		return fail("the amount is empty")
	case !amount.Fits(r.Parts[from]):
		return fail("the donating partition has less")
	}
	moved := r.clone()
	moved.Parts[from] = moved.Parts[from].Sub(amount)
	moved.Parts[to] = moved.Parts[to].Add(amount)
	return moved, nil
}

// Effective returns what a partition may use under the published limit: its part, scaled by limit/sum if the limit is
// lower than the sum of the parts. It rounds down, so that the sum over all partitions stays within the limit. A
// component without a published limit is unlimited in every partition, whatever the record says. If owners have read the
// record at different times, the bound holds only if each reads it again when it adopts a changed limit: after a higher
// limit followed by a lower one, an owner with the record from before the higher one would use more than its part.
func (r Record) Effective(limit resource.Vector, partition string) resource.Vector {
	sum, part, limits := components(r.sum()), components(r.Parts[partition]), components(limit)
	var effective [resourceKinds]int64
	for i := range effective {
		switch {
		case limits[i] >= UnlimitedAmount:
			effective[i] = UnlimitedAmount
		default:
			effective[i] = scaleDown(part[i], limits[i], sum[i])
		}
	}
	return vector(effective)
}

// WithLimit returns the record adapted to a published limit, which may be higher or lower. Where the limit is lower
// than the sum of the parts, the parts are first reduced to their effective values. The difference between the limit
// and the sum is then divided equally among the partitions. No part becomes smaller than its effective value under the
// limit, so that an owner with the old record never uses more than one with the new record.
func (r Record) WithLimit(limit resource.Vector, partitions []string) Record {
	adapted := r.clone()
	adapted.Limit = LimitOf(&limit)
	sum, limits := components(r.sum()), components(adapted.Limit)
	for name, part := range adapted.Parts {
		p := components(part)
		for i := range p {
			p[i] = scaleDown(p[i], limits[i], sum[i])
		}
		adapted.Parts[name] = vector(p)
	}
	names := slices.Compact(slices.Sorted(slices.Values(partitions)))
	remainder := components(adapted.Limit.Sub(adapted.sum()))
	for at, name := range names {
		part := components(adapted.Parts[name])
		for i := range part {
			count := int64(len(names))
			part[i] += remainder[i] / count
			if int64(at) < remainder[i]%count {
				part[i]++
			}
		}
		adapted.Parts[name] = vector(part)
	}
	return adapted
}

// Check fails with *RecordError if a part is negative or the sum of the parts is above the limit.
func (r Record) Check() error {
	if r.Limit.HasNegative() {
		return &RecordError{r.Team, fmt.Sprintf("limit %+v is negative", r.Limit)}
	}
	if !r.Limit.Fits(Unlimited) {
		return &RecordError{r.Team, fmt.Sprintf("limit %+v is out of range", r.Limit)}
	}
	var sum resource.Vector
	for _, name := range slices.Sorted(maps.Keys(r.Parts)) {
		part := r.Parts[name]
		if part.HasNegative() || !part.Fits(r.Limit) {
			return &RecordError{r.Team, fmt.Sprintf("part %+v of %s is negative or above the limit %+v", part, name, r.Limit)}
		}
		if sum = sum.Add(part); !sum.Fits(r.Limit) {
			return &RecordError{r.Team, fmt.Sprintf("the sum of the parts is above the limit %+v", r.Limit)}
		}
	}
	return nil
}

func (r Record) sum() resource.Vector {
	var sum resource.Vector
	for _, part := range r.Parts {
		sum = sum.Add(part)
	}
	return sum
}

func (r Record) clone() Record {
	parts := make(map[string]resource.Vector, len(r.Parts)+1)
	maps.Copy(parts, r.Parts)
	r.Parts = parts
	return r
}

const resourceKinds = 4

func components(v resource.Vector) [resourceKinds]int64 {
	return [...]int64{v.Slots, v.MilliCPU, v.MemoryMB, v.Accelerators}
}

func vector(c [resourceKinds]int64) resource.Vector {
	return resource.Vector{Slots: c[0], MilliCPU: c[1], MemoryMB: c[2], Accelerators: c[3]}
}

// scaleDown returns part*limit/sum, rounded down, if sum is above limit, and part otherwise. The product has 128 bits and
// can't overflow.
func scaleDown(part, limit, sum int64) int64 {
	if limit <= 0 || part <= 0 {
		return 0
	}
	if sum <= limit {
		return min(part, limit) // a corrupt record may have negative parts, so that part is above sum
	}
	part = min(part, sum)
	high, low := bits.Mul64(uint64(part), uint64(limit))
	quotient, _ := bits.Div64(high, low, uint64(sum)) // high < sum because part <= sum and limit <= sum
	return int64(quotient)
}
