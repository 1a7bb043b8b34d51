package workerclient

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/port"
	"sequoiastall/internal/rpc/workerpb"
)

// BenchmarkStartBytes reports the encoded size of a batch of task starts and of the events for their ends, per start.
// The overhead of HTTP/2 framing isn't included.
func BenchmarkStartBytes(b *testing.B) {
	for _, n := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("starts=%d", n), func(b *testing.B) {
			g := port.StartGroup{Job: job.NewID("team", "key"), Duration: time.Minute,
				Reserved: resource.Vector{Slots: 1, MilliCPU: 1000, MemoryMB: 1024}}
			for i := range n {
				g.Tasks = append(g.Tasks, port.TaskStart{Index: int32(1000 + i), Attempt: 1})
			}
			request, err := fromSync(port.Sync{Token: 1 << 50, Node: "node-12", Starts: []port.StartGroup{g}, SeenThrough: 1 << 20, ForgetThrough: 1 << 20})
			if err != nil {
				b.Fatal(err)
			}
			response := &workerpb.SyncResponse{Accepted: true}
			for i := range n {
				response.Events = append(response.Events, &workerpb.Event{Sequence: 1<<20 + uint64(i), Task: &workerpb.TaskRecord{
					Job: string(g.Job), Index: int32(1000 + i), Attempt: 1, State: workerpb.TaskState_SUCCEEDED}})
			}
			start, end := 0, 0
			for range b.N {
				start, end = proto.Size(request), proto.Size(response)
			}
			b.ReportMetric(float64(start)/float64(n), "bytes/start")
			b.ReportMetric(float64(end)/float64(n), "bytes/end")
		})
	}
}
