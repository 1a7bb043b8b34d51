package cli

import (
	"crypto/sha256"
	"fmt"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/object"
	"sequoiastall/internal/core/resource"
)

// Guards against sample sets that can't be published, that don't have the documented number of zones, teams and queues, or
// whose services don't fit on the documented workers.
func TestExamples(t *testing.T) {
	worker := resource.Vector{Slots: 8, MilliCPU: 16_000, MemoryMB: 32_768}
	fleet := worker.Scale(50)
	for _, name := range []string{"gatecare", "frio-retorno"} {
		t.Run(name, func(t *testing.T) {
			files, err := readFiles(filepath.Join("..", "..", "examples", name))
			assert.NilError(t, err)
			set, problems := object.Validate(files)
			assert.Equal(t, len(problems), 0, "%v", problems)
			assert.Equal(t, len(set.Zones), 4)
			assert.Equal(t, len(set.Teams), 6)
			index, err := object.NewIndex(set)
			assert.NilError(t, err)
			withKey := map[string]bool{}
			for _, k := range set.Keys {
				found, ok := index.Key(sha256.Sum256(fmt.Append(nil, "example-", k.Name)))
				assert.Assert(t, ok && found.Name == k.Name, "the secret of key %s isn't example-%s", k.Name, k.Name)
				withKey[k.Team] = true
			}
			classes := map[object.Class]bool{}
			for _, q := range set.Queues {
				classes[q.Class] = true
			}
			assert.Equal(t, len(classes), 4, "every class has a queue")
			for _, team := range set.Teams {
				quota, _ := index.Team(team.Name)
				assert.Assert(t, quota.Limited && withKey[team.Name], team.Name)
			}
			assert.Equal(t, len(set.Shares), 6)
			var services resource.Vector
			for _, s := range set.Services {
				assert.Assert(t, s.Resources.Vector().Fits(worker), s.Name)
				services = services.Add(s.Resources.Vector().Scale(int64(s.Replicas)))
			}
			assert.Assert(t, services.Fits(fleet.MulDiv(1, 2)), "services take %+v", services)
		})
	}
}
