package contain

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a panic that ends the process or leaves no trace in the log.
func TestPanicIsLogged(t *testing.T) {
	var out bytes.Buffer
	log := slog.New(slog.NewJSONHandler(&out, nil))
	assert.Assert(t, Panics(log, "a test", func() { panic("broken") }))
	for _, part := range []string{`"during":"a test"`, `"cause":"broken"`, "contain_test.go"} {
		assert.Assert(t, strings.Contains(out.String(), part), "%s isn't in %s", part, out.String())
	}
	out.Reset()
	assert.Assert(t, !Panics(log, "a test", func() {}))
	assert.Equal(t, out.Len(), 0)
}
