package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record is the record.txt of a case.
type record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{began: time.Now(), file: f}, err
}

func (r *record) add(format string, args ...any) { r.addAt(time.Now(), format, args...) }

// addAt adds a line for what happened at a time. Lines may come late and out of order.
func (r *record) addAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", at.Sub(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// taskRun is a run that a worker has begun.
type taskRun struct {
	task, worker string
	run          int
	life         int // of the worker
	began, ended time.Time
	how          string // empty while it runs
	number       int64  // of its end
	noted        bool   // its end was taken note of
}

// jobFacts are what a client knows of a job.
type jobFacts struct {
	job        job
	acceptedAt time.Time
}

// rules collects what workers and clients have seen.
type rules struct {
	record *record

	mu     sync.Mutex
	runs   []*taskRun
	lives  map[string]int
	jobs   map[string]*jobFacts
	broken []string
	// delayed holds the calls that are under way for longer.
	delayed []workerEvent
}

func newRules(r *record) *rules {
	return &rules{record: r, lives: map[string]int{}, jobs: map[string]*jobFacts{}}
}

func (r *rules) accepted(id string, j job, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.factsOf(id)
	f.job, f.acceptedAt = j, at
}

// factsOf returns a job's facts. The caller holds mu.
func (r *rules) factsOf(id string) *jobFacts {
	if r.jobs[id] == nil {
		r.jobs[id] = &jobFacts{}
	}
	return r.jobs[id]
}

// breakRule notes that a rule is broken. The caller holds mu.
func (r *rules) breakRule(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	r.broken = append(r.broken, text)
	r.record.add("BROKEN %s", text)
}

func (r *rules) observe(e workerEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := time.UnixMicro(e.At)
	switch e.Kind {
	case "up":
		r.lives[e.Worker]++
		r.record.addAt(at, "worker %s up", e.Worker)
	case "down":
		r.record.addAt(at, "worker %s down", e.Worker)
		for _, run := range r.runs {
			if run.worker == e.Worker && run.how == "" {
				run.ended, run.how = at, "lost"
			}
		}
	case "delayed":
		r.record.addAt(at, "the start of %s run %d, token %d, to %s is under way for longer", e.Task, e.Run, e.Token, e.Worker)
		r.delayed = append(r.delayed, e)
	case "start":
		r.record.addAt(at, "worker %s starts %s run %d, token %d", e.Worker, e.Task, e.Run, e.Token)
		r.checkTwice(e, at)
		r.runs = append(r.runs, &taskRun{task: e.Task, worker: e.Worker, run: e.Run, life: r.lives[e.Worker], began: at})
	case "end":
		r.record.addAt(at, "worker %s: %s run %d ended %s, number %d", e.Worker, e.Task, e.Run, e.How, e.Number)
		for _, run := range r.runs {
			if run.worker == e.Worker && run.life == r.lives[e.Worker] && run.task == e.Task && run.run == e.Run && run.how == "" {
				run.ended, run.how, run.number = at, e.How, e.Number
			}
		}
	case "ack":
		r.record.addAt(at, "worker %s: ends up to %d taken note of", e.Worker, e.Number)
		for _, run := range r.runs {
			if run.worker == e.Worker && run.life == r.lives[e.Worker] && run.how != "" && run.number <= e.Number {
				run.noted = true
			}
		}
	}
}

// checkTwice checks the start of a run against the other runs of its task. The caller holds mu.
func (r *rules) checkTwice(e workerEvent, at time.Time) {
	for _, run := range r.runs {
		if run.task == e.Task && run.how == "" {
			r.breakRule("TWICE", "%s run %d starts on %s while run %d runs on %s", e.Task, e.Run, e.Worker, run.run, run.worker)
		}
	}
}

// checkDoneTwice checks at the end that no run began after one that ended done and was taken note of.
func (r *rules) checkDoneTwice() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, done := range r.runs {
		if done.how != "done" || !done.noted {
			continue
		}
		for _, later := range r.runs {
			if later.task == done.task && later.began.After(done.ended) {
				r.breakRule("TWICE", "%s run %d starts on %s after run %d was done on %s", later.task, later.run, later.worker, done.run, done.worker)
			}
		}
	}
}

// delayedCall returns the first call that is under way for longer, if there is one.
func (r *rules) delayedCall() (workerEvent, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.delayed) == 0 {
		return workerEvent{}, false
	}
	return r.delayed[0], true
}

// runsOf returns copies of the runs of a job's tasks.
func (r *rules) runsOf(id string) []taskRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	var runs []taskRun
	for _, run := range r.runs {
		if strings.HasPrefix(run.task, id+".") {
			runs = append(runs, *run)
		}
	}
	return runs
}

// fail notes a broken rule.
func (r *rules) fail(rule, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breakRule(rule, format, args...)
}
