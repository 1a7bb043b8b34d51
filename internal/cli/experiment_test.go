package cli

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestExperimentBadInput guards against a panic, or success without output, on invalid sets and arguments.
func TestExperimentBadInput(t *testing.T) {
	for _, args := range []string{"experiment --set " + t.TempDir(), "experiment --seed x", "experiment extra"} {
		var stdout, stderr bytes.Buffer
		code := Execute(context.Background(), strings.Fields(args), &stdout, &stderr)
		assert.Assert(t, code != 0, args)
		assert.Assert(t, stderr.Len() > 0, args)
		assert.Equal(t, stdout.Len(), 0, args)
	}
}
