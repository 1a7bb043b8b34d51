package load

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/object"
	"sequoiastall/internal/port"
	"sequoiastall/internal/standin/worker"
)

// Guards against generated object sets that the validation rejects, at the current size and at the target size.
func TestGeneratedSetsAreValid(t *testing.T) {
	target := Shape{Zones: 5, PartitionsPerZone: 5, Workers: 1300, Slots: 32, Teams: 190, Services: 190, Replicas: 39, Concurrency: 1, LimitFactor: 3}
	for _, s := range []Shape{DefaultOptions().Shape, target} {
		set, problems := object.Validate(s.Files())
		assert.Equal(t, len(problems), 0, "%v", problems)
		assert.Equal(t, len(set.Teams), s.Teams+1)
	}
}

// Guards against rates that mix up directions, kinds of connections, or reads and writes of the store.
func TestNodeResultSeparatesRates(t *testing.T) {
	before, err := parseMetrics(strings.NewReader("# TYPE x counter\n" +
		`sequoiastall_wire_bytes_total{kind="worker",direction="in"} 100` + "\n" +
		`sequoiastall_store_calls_total{method="get",outcome="ok"} 1` + "\n"))
	assert.NilError(t, err)
	after, err := parseMetrics(strings.NewReader(
		`sequoiastall_wire_bytes_total{kind="worker",direction="in"} 300` + "\n" +
			`sequoiastall_wire_bytes_total{kind="store",direction="out"} 50` + "\n" +
			`sequoiastall_store_calls_total{method="get",outcome="ok"} 5` + "\n" +
			`sequoiastall_store_calls_total{method="get",outcome="not_found"} 2` + "\n" +
			`sequoiastall_store_calls_total{method="put",outcome="conflict"} 4` + "\n" +
			`sequoiastall_process_cpu_us 40000` + "\n"))
	assert.NilError(t, err)
	now := time.Unix(1000, 0)
	r := nodeResult("n", Sample{now, before}, Sample{now.Add(2 * time.Second), after})
	assert.Equal(t, r.WireBytes["worker/in"], 100.0)
	assert.Equal(t, r.WireBytes["store/out"], 25.0)
	assert.Equal(t, r.Control, 125.0)
	assert.Equal(t, r.StoreReads, 3.0)
	assert.Equal(t, r.StoreWrites, 2.0)
	assert.Equal(t, r.CPUPercent, 2.0)
	_, err = parseMetrics(strings.NewReader("sequoiastall_x y\n"))
	assert.ErrorContains(t, err, "sequoiastall_x")
}

// Guards against a check that misses lost tasks or tasks that succeeded twice, or counts a repeated run as a loss.
func TestCheckFindsLostAndDoubledTasks(t *testing.T) {
	at := time.Unix(1000, 0).UTC()
	run := func(index int32, host string, from, to int, state port.TaskState) worker.Run {
		return worker.Run{Task: job.TaskID{Job: "j", Index: index}, Worker: host, State: state,
			Start: at.Add(time.Duration(from) * time.Second), End: at.Add(time.Duration(to) * time.Second)}
	}
	runs := []worker.Run{run(0, "a", 1, 2, port.TaskSucceeded), run(1, "a", 2, 5, port.TaskSucceeded),
		run(1, "b", 3, 4, port.TaskSucceeded), run(2, "a", 1, 2, port.TaskLapsed), run(2, "b", 3, 4, port.TaskSucceeded)}
	var r Result
	checkRuns(runs, []submission{{id: "j", tasks: 4, at: at}}, map[job.ID]bool{"j": true}, Shape{Slots: 8}, &r)
	assert.Equal(t, r.Outcome.LostTasks, 1)
	assert.Equal(t, r.Outcome.DoubledTasks, 1)
	assert.Equal(t, r.Outcome.RepeatedRuns, 2)
	assert.Equal(t, len(r.Outcome.Violations), 2, "%v", r.Outcome.Violations)
	assert.Equal(t, r.Waiting.Count, 3)
	assert.Equal(t, r.Waiting.MaxMS, 2000.0)
}

// Guards against run logs that can't be written to a file and read back, and against a missing file that goes
// unnoticed.
func TestRunsSurviveTheirFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "runs")
	assert.NilError(t, worker.NewRunLog().WriteFile(path))
	runs, err := worker.ReadRuns(path)
	assert.NilError(t, err)
	assert.Equal(t, len(runs), 0)
	_, err = worker.ReadRuns(path + "-absent")
	assert.ErrorContains(t, err, "run log")
}

// Guards against options with which a cell would be started that can't be measured.
func TestOptionsOutOfRangeAreRejected(t *testing.T) {
	for _, change := range []func(*Options){
		func(o *Options) { o.Nodes = 0 }, func(o *Options) { o.Shape.Workers = 100_000 }, func(o *Options) { o.Rate = -1 },
		func(o *Options) { o.Duration = 0 }, func(o *Options) { o.Platform, o.Rate = "127.0.0.1:1", 1 },
		func(o *Options) { o.Platform, o.Experiment = "127.0.0.1:1", "takeover" },
	} {
		o := DefaultOptions()
		change(&o)
		assert.Assert(t, o.validate() != nil)
	}
	assert.NilError(t, DefaultOptions().validate())
}

// Guards against a fit that depends on the order of the runs or yields a wrong base, slope or deviation.
func TestFitFindsBaseSlopeAndDeviation(t *testing.T) {
	l := fit([]float64{50, 600, 200}, []float64{110, 1210, 410})
	assert.Assert(t, l.Slope > 1.999 && l.Slope < 2.001 && l.Base > 9.9 && l.Base < 10.1, "%+v", l)
	assert.Assert(t, l.Error < 1e-6, "%+v", l)
	assert.DeepEqual(t, fit([]float64{3, 3}, []float64{1, 5}), linearFit{Base: 3})
}
