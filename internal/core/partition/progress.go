package partition

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/port"
)

// Progress is the value of the store key progress/<partition>. It holds what workers' inventories don't retain
// permanently.
type Progress struct {
	// Sequence grows by one with each write. A worker stores the sequence of the document that allowed it to forget
	// events, so that a new owner can tell whether its copy of the document is recent enough.
	Sequence uint64                 `json:"sequence"`
	Writer   string                 `json:"writer"`
	Jobs     map[job.ID]JobProgress `json:"jobs,omitempty"`
}

// JobProgress is the progress of one active job.
type JobProgress struct {
	Succeeded job.Ranges `json:"succeeded"`
	Broken    job.Ranges `json:"broken"`
	Unknown   job.Ranges `json:"unknown"`
	// Intents are the non-idempotent tasks, by worker, that may have been started and have no known outcome.
	Intents map[string]*job.Ranges `json:"intents,omitempty"`
	// Moving means that the job's record may have been moved to another partition.
	Moving bool `json:"moving,omitempty"`
}

// DecodeProgress parses a value of the store key progress/<partition>.
func DecodeProgress(data []byte) (Progress, error) {
	var p Progress
	if err := json.Unmarshal(data, &p); err != nil {
		return Progress{}, errors.Wrap(err, "decode progress document")
	}
	return p, nil
}

// Encode returns the value to store.
func (p Progress) Encode() []byte {
	data, err := json.Marshal(p)
	if err != nil {
		panic(err) // only fails for types that JSON can't represent
	}
	return data
}

// progressState tracks which part of the machine's state is durable.
type progressState struct {
	loaded bool // the document was read from the store, or from a copy that is recent enough
	// sequence of the last document known to be in the store, and its store revision (0 if absent).
	sequence uint64
	revision int64
	dirty    bool // the state has changed since the last document was built
	urgent   bool // the start of a task, or the first document of a settled owner, waits for the write
	inFlight *pendingWrite
	// awaitingMarks and nextAwaitingMarks are durable documents. Workers may forget the events that they cover once
	// most workers have their marks.
	awaitingMarks, nextAwaitingMarks *pendingWrite
	// marksAllowed is set once a document that this owner built after it settled is durable. Only then do workers get
	// marks: a mark shows a successor that the worker has a record of everything that was started since.
	marksAllowed bool
	intents      map[job.TaskID]string // open intents of previous owners, with their workers
}

// pendingWrite is a document that is being written to the store, or is durable and awaits marks.
type pendingWrite struct {
	sequence uint64
	covered  map[string]coverage
	intents  []job.TaskID // tasks that may start once the document is durable
	moves    []job.ID
	settled  bool
}

// coverage identifies the events of a worker that a document covers.
type coverage struct {
	token    port.Token
	sequence uint64 // of the last covered event
}

// BuildProgress returns the next document to write and the store revision that it must replace (0 if the key must not
// exist). ok is false if nothing has changed, a write is in progress or the last document hasn't been read yet.
func (m *Machine) BuildProgress() (doc Progress, revision int64, ok bool) {
	p := &m.progress
	if !p.loaded || !p.dirty || p.inFlight != nil {
		return Progress{}, 0, false
	}
	pending := &pendingWrite{sequence: p.sequence + 1, covered: map[string]coverage{}, settled: m.settled}
	doc = Progress{Sequence: pending.sequence, Writer: m.options.Node, Jobs: map[job.ID]JobProgress{}}
	for id, s := range m.jobs {
		if s.Record.Spec.Class == job.Service {
			continue
		}
		if jp, nonEmpty := m.jobProgress(s, pending); nonEmpty {
			doc.Jobs[id] = jp
		}
	}
	for id, jp := range m.pendingProgress {
		doc.Jobs[id] = jp // the job's record may still arrive
	}
	for id, w := range m.workers {
		if w.held && len(w.orphans) == 0 {
			pending.covered[id] = coverage{w.token, w.lastEvent}
		} else if w.held {
			pending.covered[id] = coverage{w.token, 0}
		}
	}
	p.inFlight, p.dirty, p.urgent = pending, false, false
	return doc, p.revision, true
}

func (m *Machine) jobProgress(s *job.State, pending *pendingWrite) (jp JobProgress, nonEmpty bool) {
	for i := range s.Tasks {
		t := &s.Tasks[i]
		index := int32(i)
		switch t.Phase {
		case job.TaskSucceeded:
			jp.Succeeded.Add(index)
		case job.TaskBroken:
			jp.Broken.Add(index)
		case job.TaskUnknown:
			jp.Unknown.Add(index)
		case job.TaskIntended:
			jp.addIntent(t.Worker, index)
			pending.intents = append(pending.intents, job.TaskID{Job: s.Record.ID, Index: index})
		case job.TaskRunning:
			if s.Record.Spec.Idempotent {
				continue
			}
			jp.addIntent(t.Worker, index)
			if worker, open := m.progress.intents[job.TaskID{Job: s.Record.ID, Index: index}]; open {
				jp.addIntent(worker, index)
			}
		case job.TaskPending:
			worker, open := m.progress.intents[job.TaskID{Job: s.Record.ID, Index: index}]
			if !open {
				continue
			}
			jp.addIntent(worker, index)
		}
		nonEmpty = true
	}
	if m.moving[s.Record.ID] != nil {
		jp.Moving, nonEmpty = true, true
		pending.moves = append(pending.moves, s.Record.ID)
	}
	return jp, nonEmpty
}

func (jp *JobProgress) addIntent(worker string, index int32) {
	if jp.Intents == nil {
		jp.Intents = map[string]*job.Ranges{}
	}
	if jp.Intents[worker] == nil {
		jp.Intents[worker] = &job.Ranges{}
	}
	jp.Intents[worker].Add(index)
}

// ProgressUrgent reports whether the next document should be written soon, because a start waits for it or the
// partition has just settled.
func (m *Machine) ProgressUrgent() bool { return m.progress.urgent }

// ProgressWritten reports that the document in flight is in the store at the given revision.
func (m *Machine) ProgressWritten(revision int64, now time.Time) {
	p := &m.progress
	written := p.inFlight
	if written == nil {
		return
	}
	p.inFlight = nil
	p.sequence, p.revision = written.sequence, revision
	p.marksAllowed = p.marksAllowed || (written.settled && m.settled)
	for id, c := range written.covered {
		if w := m.workers[id]; w != nil && w.held && w.token == c.token {
			w.markAllowed = true
		}
	}
	if p.awaitingMarks == nil {
		p.awaitingMarks = written
	} else {
		p.nextAwaitingMarks = written
	}
	for _, id := range written.moves {
		if mv := m.moving[id]; mv != nil && mv.sequence == 0 {
			mv.sequence = written.sequence
		}
	}
	for _, id := range written.intents {
		if s := m.jobs[id.Job]; s != nil && s.Tasks[id.Index].Phase == job.TaskIntended {
			m.sendStart(s, id.Index, now)
		}
	}
}

// releaseEvents allows workers to forget the events that a durable document covers, once enough workers hold its mark
// that a successor is certain to find it.
func (m *Machine) releaseEvents() {
	p := &m.progress
	for p.awaitingMarks != nil && m.majorityMarked(p.awaitingMarks.sequence) {
		for id, c := range p.awaitingMarks.covered {
			if w := m.workers[id]; w != nil && w.held && w.token == c.token {
				w.forgetThrough = max(w.forgetThrough, c.sequence)
			}
		}
		p.awaitingMarks, p.nextAwaitingMarks = p.nextAwaitingMarks, nil
	}
}

// addIntent records an open intent. A task with intents on two workers is recorded with an unknown worker, so that its
// outcome counts as unknown.
func (m *Machine) addIntent(id job.TaskID, worker string) {
	if other, open := m.progress.intents[id]; open && other != worker {
		worker = ""
	}
	m.progress.intents[id] = worker
}

// NeedsReload reports whether the machine needs the current document and records from the store: a worker holds the
// mark of a later document, or the machine has lost its workers since its state was verified.
func (m *Machine) NeedsReload() bool {
	for _, w := range m.workers {
		if w.durableMark > m.progress.sequence {
			return true
		}
	}
	return !m.verified
}

// ProgressFailed reports that the write in flight had no effect. The next document repeats its content.
func (m *Machine) ProgressFailed() {
	if pending := m.progress.inFlight; pending != nil {
		m.progress.inFlight = nil
		m.progress.dirty = true
		m.progress.urgent = len(pending.intents) > 0
	}
}

// LoadProgress merges a document that another owner wrote, read at the given store revision. If a write is in flight,
// its result must be reported first.
func (m *Machine) LoadProgress(doc Progress, revision int64) {
	p := &m.progress
	if p.loaded && doc.Sequence <= p.sequence && revision <= p.revision {
		return
	}
	p.loaded = true
	p.sequence, p.revision = max(p.sequence, doc.Sequence), revision
	// The job records may be older than the document.
	m.jobsLoaded = false
	m.pendingProgress = map[job.ID]JobProgress{}
	for id, jp := range doc.Jobs {
		if s := m.jobs[id]; s != nil {
			m.mergeProgress(s, jp)
		} else {
			m.pendingProgress[id] = jp
		}
	}
	m.progress.dirty = true
}

// JobsLoaded reports that SetJob has been called for every job of the partition that the store held when the last
// loaded progress document was written.
func (m *Machine) JobsLoaded() { m.jobsLoaded = true }

// StateVerified reports that the known jobs matched the store at some time after the progress document was loaded.
// Running tasks of other jobs may be stopped from then on.
func (m *Machine) StateVerified() {
	m.verified, m.jobsLoaded = true, true
	m.progress.dirty = m.progress.dirty || len(m.pendingProgress) > 0
	clear(m.pendingProgress)
	for id, mv := range m.moving {
		if mv.inherited {
			m.MoveFailed(id)
		}
	}
}

// mergeProgress applies the durable progress of a job. Inventories may already have reported more recent progress.
func (m *Machine) mergeProgress(s *job.State, jp JobProgress) {
	finish := func(phase job.TaskPhase) func(int32) { return func(i int32) { m.finishTask(s, i, phase) } }
	jp.Succeeded.Each(finish(job.TaskSucceeded))
	jp.Broken.Each(finish(job.TaskBroken))
	jp.Unknown.Each(finish(job.TaskUnknown))
	if jp.Broken.Len() > 0 && s.Record.Spec.Idempotent {
		m.abandon(s)
	}
	for i := range s.Tasks {
		delete(m.progress.intents, job.TaskID{Job: s.Record.ID, Index: int32(i)})
	}
	for worker, indexes := range jp.Intents {
		indexes.Each(func(i int32) {
			if int(i) < len(s.Tasks) && s.Tasks[i].Phase == job.TaskIntended {
				// Another owner wrote its intent first and may have started the task.
				m.unbook(s, i)
				m.setPhase(s, i, job.TaskPending)
			}
			if int(i) < len(s.Tasks) && !s.Tasks[i].Phase.Final() && s.Tasks[i].Worker != worker {
				m.addIntent(job.TaskID{Job: s.Record.ID, Index: i}, worker)
			}
		})
	}
	if jp.Moving && m.moving[s.Record.ID] == nil {
		m.moving[s.Record.ID] = &move{inherited: true, handedOver: true}
	}
}
