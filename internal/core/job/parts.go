package job

import (
	"strconv"
	"strings"
)

// Part is a range of a job's tasks that one partition runs. A job whose tasks don't fit into one partition's free
// capacity is divided when it is accepted, so that it can use the free capacity of several partitions.
type Part struct {
	Partition string `json:"partition"`
	First     int32  `json:"first"` // index of its first task within the job
	Count     int32  `json:"count"`
	Phase     Phase  `json:"phase"` // Pending until final
	Reason    string `json:"reason,omitempty"`
	Succeeded int32  `json:"succeeded,omitempty"`
	Unknown   int32  `json:"unknown,omitempty"`
	// Completed and Undecided hold the progress of a part that moved from another partition, with task indexes that
	// start at 0 within the part.
	Completed Ranges `json:"completed"`
	Undecided Ranges `json:"undecided"`
}

// partSeparator separates a job's ID from the number of a part.
const partSeparator = "."

// PartID returns the ID under which a partition runs a part.
func (id ID) PartID(number int) ID { return id + partSeparator + ID(strconv.Itoa(number)) }

// Parent returns the job's ID and the number of the part, or the ID itself and -1 if it isn't the ID of a part.
func (id ID) Parent() (ID, int) {
	parent, suffix, divided := strings.Cut(string(id), partSeparator)
	number, err := strconv.Atoi(suffix)
	if !divided || err != nil {
		return id, -1
	}
	return ID(parent), number
}

// PartRecords returns the records under which partitions run the job: the record itself if it is undivided, otherwise
// one for each part.
func (r Record) PartRecords() []Record {
	if len(r.Parts) == 0 {
		return []Record{r}
	}
	records := make([]Record, len(r.Parts))
	for k := range r.Parts {
		records[k] = r.partRecord(k)
	}
	return records
}

func (r Record) partRecord(k int) Record {
	p := r.Parts[k]
	part := r
	part.ID, part.Parts, part.Partition, part.Phase = r.ID.PartID(k), nil, p.Partition, p.Phase
	part.Spec.Tasks, part.Spec.FirstIndex = p.Count, p.First
	part.Reason, part.Succeeded, part.Unknown = p.Reason, p.Succeeded, p.Unknown
	part.Completed, part.Undecided = p.Completed, p.Undecided
	return part
}

// Partitions returns the partitions that run the job.
func (r Record) Partitions() []string {
	if len(r.Parts) == 0 {
		return []string{r.Partition}
	}
	names := make([]string, len(r.Parts))
	for k, p := range r.Parts {
		names[k] = p.Partition
	}
	return names
}

// WithPart returns the record updated with one of its PartRecords, which has ended in the partition from, or moved away
// from it. If the record is final, or the part has already ended or moved, it returns the record unchanged and false.
func (r Record) WithPart(part Record, from string) (next Record, changed bool) {
	_, k := part.ID.Parent()
	if r.Phase.Final() || k >= len(r.Parts) || (k < 0) != (len(r.Parts) == 0) {
		return r, false
	}
	if k < 0 {
		if r.Partition != from {
			return r, false
		}
		part.CancelRequested, part.Writer = r.CancelRequested, r.Writer
		return part, true
	}
	old := r.Parts[k]
	if old.Phase.Final() || old.Partition != from {
		return r, false
	}
	r.Parts = append([]Part(nil), r.Parts...)
	r.Parts[k] = Part{Partition: part.Partition, First: old.First, Count: old.Count, Phase: part.Phase, Reason: part.Reason,
		Succeeded: part.Succeeded, Unknown: part.Unknown, Completed: part.Completed, Undecided: part.Undecided}
	r.updatePhase(part.EndedMS)
	return r, true
}

// updatePhase updates the task counts of a divided job, and sets its phase once all its parts have ended. A failed part
// makes the job failed; otherwise, a cancelled part makes it cancelled.
func (r *Record) updatePhase(endedMS int64) {
	r.Succeeded, r.Unknown = 0, 0
	phase, reason := Done, ""
	for _, p := range r.Parts {
		r.Succeeded, r.Unknown = r.Succeeded+p.Succeeded, r.Unknown+p.Unknown
		switch {
		case !p.Phase.Final():
			return
		case p.Phase == Failed || (p.Phase == Cancelled && phase == Done):
			phase, reason = p.Phase, p.Reason
		}
	}
	r.Phase, r.Reason, r.EndedMS = phase, reason, endedMS
}
