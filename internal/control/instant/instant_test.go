package instant

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a node that takes itself for the holder after its machine was suspended, during which the monotonic clock stands
// still.
func TestAgeOfAnInstantIncludesSuspension(t *testing.T) {
	i := Now()
	i.sinceBoot -= time.Hour // as if the machine had been suspended since
	assert.Assert(t, i.Age() >= time.Hour)
	assert.Assert(t, Now().Age() < time.Minute)
}
