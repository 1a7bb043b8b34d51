package proof

import (
	"testing"
	"time"

	"sequoiastall/internal/core/job"
)

// TestKilledNode guards against jobs that are lost, stuck or run twice when an ingress node dies.
func TestKilledNode(t *testing.T) {
	t.Parallel()
	c := newCell(t, nil)
	ids := []job.ID{
		c.submit(c.nodes[0], "long", batch(40, 4*time.Second, true)),
		c.submit(c.nodes[1], "short", batch(60, 500*time.Millisecond, true)),
		c.submit(c.nodes[2], "gang", gang(12, 3*time.Second)),
		c.submit(c.nodes[0], "once", batch(10, 3*time.Second, false)),
	}
	for _, id := range ids {
		c.awaitRunning(id, 1)
	}
	c.nodes[0].kill()
	ids = append(ids, c.submit(c.nodes[1], "after", batch(20, 200*time.Millisecond, true)))
	c.awaitDone(c.nodes[1], ids...)
	c.awaitOwners(c.nodes[1:]...)
	c.finish(ids...)
}
