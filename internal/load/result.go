package load

import (
	"slices"
	"time"

	"sequoiastall/internal/telemetry"
)

// NodeResult holds the resource usage of one node over the measurement period. Rates are per second.
type NodeResult struct {
	Node        string             `json:"node"`
	Partitions  int                `json:"partitions"`
	WireBytes   map[string]float64 `json:"wire_bytes"` // by kind of connection and direction, such as worker/in
	Payload     map[string]float64 `json:"payload_bytes"`
	Messages    map[string]float64 `json:"messages"`
	Control     float64            `json:"control_bytes"` // sum of WireBytes
	StoreReads  float64            `json:"store_reads"`
	StoreWrites float64            `json:"store_writes"`
	StoreCalls  map[string]float64 `json:"store_calls"`
	Watches     float64            `json:"store_watches"`
	WatchEvents float64            `json:"store_watch_events"`
	CPUPercent  float64            `json:"cpu_percent"` // of one core
	RSSMB       float64            `json:"rss_mb"`
	HeapMB      float64            `json:"heap_mb"`
	AllocatedMB float64            `json:"allocated_mb"` // per second
	Goroutines  float64            `json:"goroutines"`
	Starts      float64            `json:"starts"`
	Violations  float64            `json:"violations"` // violated invariants since the start of the node
}

// readMethods are the store methods that count as reads. All others count as writes.
var readMethods = []string{"get", "range", "list"}

// directions are the label values of the control byte metrics.
var directions = []string{"in", "out"}

// nodeResult computes rates from two samples of a node.
func nodeResult(name string, before, after Sample) NodeResult {
	seconds := after.At.Sub(before.At).Seconds()
	rate := func(metric string, labels ...string) float64 {
		return (after.sum(metric, labels...) - before.sum(metric, labels...)) / seconds
	}
	const mb = 1 << 20
	r := NodeResult{Node: name, WireBytes: map[string]float64{}, Payload: map[string]float64{}, Messages: map[string]float64{},
		StoreCalls: map[string]float64{}}
	for _, kind := range []telemetry.ConnectionKind{telemetry.ConnectionNode, telemetry.ConnectionWorker,
		telemetry.ConnectionStore} {
		for _, d := range directions {
			key, labels := string(kind)+"/"+d, []string{`kind="` + string(kind) + `"`, `direction="` + d + `"`}
			r.WireBytes[key] = rate(telemetry.WireBytes, labels...)
			r.Payload[key] = rate(telemetry.ControlBytes, labels...)
			r.Messages[key] = rate(telemetry.ControlMessages, labels...)
			r.Control += r.WireBytes[key]
		}
	}
	for _, method := range []string{"get", "range", "list", "put", "delete", "grant", "keepalive"} {
		calls := rate(telemetry.StoreCalls, `method="`+method+`"`)
		r.StoreCalls[method] = calls
		if slices.Contains(readMethods, method) {
			r.StoreReads += calls
		} else {
			r.StoreWrites += calls
		}
	}
	r.Watches, r.WatchEvents = after.sum("store_watches"), rate("store_watch_events_total")
	r.CPUPercent = rate(telemetry.ProcessCPU) / 1e6 * 100
	r.RSSMB, r.HeapMB = after.sum(telemetry.ProcessRSS)/mb, after.sum(telemetry.ProcessHeap)/mb
	r.AllocatedMB, r.Goroutines = rate(telemetry.ProcessAllocated)/mb, after.sum(telemetry.ProcessGoroutines)
	r.Starts = rate("task_waiting_us_count")
	r.Violations = after.sum(telemetry.InvariantViolations)
	return r
}

// Waiting holds the number, quantiles and maximum of waiting times.
type Waiting struct {
	Count int     `json:"count"`
	P50MS float64 `json:"p50_ms"`
	P99MS float64 `json:"p99_ms"`
	MaxMS float64 `json:"max_ms"`
}

func summarise(times []time.Duration) Waiting {
	if len(times) == 0 {
		return Waiting{}
	}
	slices.Sort(times)
	at := func(q float64) float64 {
		return float64(times[min(len(times)-1, int(q*float64(len(times))))].Microseconds()) / 1000
	}
	return Waiting{Count: len(times), P50MS: at(0.5), P99MS: at(0.99), MaxMS: at(1)}
}

// Outcome counts the submitted jobs and their tasks by outcome.
type Outcome struct {
	Submitted    int      `json:"jobs_submitted"`
	Refused      int      `json:"jobs_refused"` // rejected with the guarantee that they didn't run, or not accepted in time
	Done         int      `json:"jobs_done"`
	Unfinished   int      `json:"jobs_unfinished"`
	Failed       int      `json:"jobs_failed"`
	Tasks        int      `json:"tasks"`         // tasks of the jobs that are done
	LostTasks    int      `json:"lost_tasks"`    // tasks of jobs reported as done that have no successful run
	DoubledTasks int      `json:"doubled_tasks"` // tasks that succeeded more than once
	RepeatedRuns int      `json:"repeated_runs"` // runs of a task beyond its first
	Violations   []string `json:"violations,omitempty"`
}

// Result is the outcome of one load run.
type Result struct {
	Shape      Shape         `json:"shape"`
	Nodes      int           `json:"nodes"`
	Rate       float64       `json:"rate"` // requested task starts per second
	Seconds    float64       `json:"seconds"`
	Running    int64         `json:"running_slots"` // at the end of the measurement period
	Total      NodeResult    `json:"total"`         // sums over the nodes, Watches included
	Mean       NodeResult    `json:"mean"`
	Worst      NodeResult    `json:"worst"` // the largest value of each figure over all nodes, not the figures of one node
	PerNode    []NodeResult  `json:"per_node"`
	Waiting    Waiting       `json:"waiting"`
	Urgent     Waiting       `json:"urgent"`
	Requests   RequestResult `json:"requests"`
	Outcome    Outcome       `json:"outcome"`
	CPUNoise   float64       `json:"other_cpu_cores"` // mean number of cores used by processes outside this run
	Experiment *Experiment   `json:"experiment,omitempty"`
}

// RequestResult summarises the requests to services.
type RequestResult struct {
	Sent   int     `json:"sent"`
	OK     int     `json:"ok"`
	Failed int     `json:"failed"`
	P50MS  float64 `json:"p50_ms"`
	P99MS  float64 `json:"p99_ms"`
}

// combine applies f to each figure of two results.
func combine(a, b NodeResult, f func(x, y float64) float64) NodeResult {
	r := NodeResult{WireBytes: map[string]float64{}, Payload: map[string]float64{}, Messages: map[string]float64{},
		StoreCalls: map[string]float64{}}
	combineMaps := func(to, x, y map[string]float64) {
		for k := range y {
			to[k] = f(x[k], y[k])
		}
	}
	combineMaps(r.WireBytes, a.WireBytes, b.WireBytes)
	combineMaps(r.Payload, a.Payload, b.Payload)
	combineMaps(r.Messages, a.Messages, b.Messages)
	combineMaps(r.StoreCalls, a.StoreCalls, b.StoreCalls)
	r.Partitions = int(f(float64(a.Partitions), float64(b.Partitions)))
	r.Control, r.StoreReads, r.StoreWrites = f(a.Control, b.Control), f(a.StoreReads, b.StoreReads), f(a.StoreWrites, b.StoreWrites)
	r.Watches, r.WatchEvents = f(a.Watches, b.Watches), f(a.WatchEvents, b.WatchEvents)
	r.CPUPercent, r.RSSMB, r.HeapMB = f(a.CPUPercent, b.CPUPercent), f(a.RSSMB, b.RSSMB), f(a.HeapMB, b.HeapMB)
	r.AllocatedMB, r.Goroutines = f(a.AllocatedMB, b.AllocatedMB), f(a.Goroutines, b.Goroutines)
	r.Starts, r.Violations = f(a.Starts, b.Starts), f(a.Violations, b.Violations)
	return r
}

// aggregate computes the sums, means and worst figures over all nodes.
func (r *Result) aggregate() {
	if len(r.PerNode) == 0 {
		return
	}
	none := NodeResult{}
	total, worst := none, none
	for _, n := range r.PerNode {
		total = combine(total, n, func(x, y float64) float64 { return x + y })
		worst = combine(worst, n, func(x, y float64) float64 { return max(x, y) })
	}
	r.Total, r.Worst = total, worst
	r.Mean = combine(none, total, func(_, y float64) float64 { return y / float64(len(r.PerNode)) })
	r.Total.Node, r.Mean.Node, r.Worst.Node = "total", "mean", "worst"
}
