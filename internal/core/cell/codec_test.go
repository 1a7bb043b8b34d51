package cell

import (
	"bytes"
	"compress/flate"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against progress records that fill the scheduling node's link: a job of 20 placed tasks must take less than half
// of its JSON form.
func TestRecordOfManyTasksIsCompact(t *testing.T) {
	j := newJob(Job{ID: "5c0e7a21d94b36f8", Steps: []Step{tasks(20, 1000)}}, start)
	for i, task := range j.steps[0].tasks {
		task.run, task.phase, task.worker = 1, taskRunning, &worker{WorkerReport: WorkerReport{ID: WorkerID(fmt.Sprintf("i-%08x", 0x9e3779b9*uint32(i+1)))}}
	}
	b, err := encodeProgress(j)
	assert.NilError(t, err)
	assert.Assert(t, len(b) < 20*18, "%d bytes", len(b))
}

// Guards against records of earlier builds that can't be read, and against corrupt ones that are taken for valid or fill
// the memory.
func TestRecordsAreReadInBothForms(t *testing.T) {
	job := Job{ID: "a", Spec: strings.Repeat("spec ", 100), Steps: []Step{tasks(1, 1)}}
	b, err := EncodeJob(job)
	assert.NilError(t, err)
	assert.Equal(t, b[0], byte(compressedRecord))
	decoded, err := DecodeJob(b)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, job)
	decoded, err = DecodeJob([]byte(`{"v":1,"id":"a","spec":"plain"}`))
	assert.NilError(t, err)
	assert.Equal(t, decoded.Spec, "plain")
	for n := range b {
		if _, err := DecodeJob(b[:n]); err == nil {
			t.Fatalf("a record cut off after %d bytes is taken for valid", n)
		}
	}
	var bomb bytes.Buffer
	bomb.WriteByte(compressedRecord)
	w, err := flate.NewWriter(&bomb, flate.BestSpeed)
	assert.NilError(t, err)
	_, err = w.Write(bytes.Repeat([]byte(" "), 2*maxRecordBytes))
	assert.NilError(t, err)
	assert.NilError(t, w.Close())
	_, err = DecodeJob(bomb.Bytes())
	assert.ErrorIs(t, err, ErrRecordTooLarge)
}

// Guards against a record of another writer that ends the process: a step that depends on one that doesn't exist, or more
// tasks than fit into the memory.
func TestInvalidJobRecordIsRefused(t *testing.T) {
	for _, steps := range []string{`{"n":1,"after":[7]}`, `{"n":1,"after":[-1]}`, `{"n":1,"after":[0]}`, `{"n":-1}`, `{"n":0}`, `{"n":2000000000}`,
		`{"n":1,"each":{"milli_cpu":-5}}`, `{"n":1,"est":-1}`} {
		_, err := DecodeJob([]byte(`{"v":1,"id":"a","steps":[` + steps + `]}`))
		assert.ErrorIs(t, err, ErrInvalidJob, steps)
	}
}

func FuzzDecodeRecords(f *testing.F) {
	j := newJob(Job{ID: "a", Spec: strings.Repeat("s", 300), Steps: []Step{tasks(2, 1)}}, start)
	encoded, err := EncodeJob(j.Job)
	assert.NilError(f, err)
	progress, err := encodeProgress(j)
	assert.NilError(f, err)
	f.Add(encoded)
	f.Add(progress)
	f.Add([]byte(`{"v":1,"steps":[{"done":[0,-1,9],"tasks":[{"i":1,"r":1,"w":"w"}]},{}]}`))
	f.Add([]byte(`{"v":1,"id":"a","steps":[{"n":-5,"after":[7]}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		// A record that can't be used must be refused as a whole: nothing of it stays in the scheduler.
		s := New(Options{}, discardEvents{})
		s.SetConfig(testConfig())
		if job, err := DecodeJob(b); err == nil {
			_ = s.AddJob(job, nil, start)
			s.Advance(start)
		}
		refused := s.AddJob(Job{ID: "known", Steps: []Step{tasks(2, 1)}}, b, start) != nil
		if refused && (len(s.usage) > 0 && !s.usage[""].IsZero() || s.jobs["known"] != nil) {
			t.Fatal("a refused record left state behind")
		}
		s.Advance(start)
		_, _ = DecodeFinal(b)
	})
}
