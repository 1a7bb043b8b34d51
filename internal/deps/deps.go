// Package deps keeps the module's declared libraries in go.mod while the packages that use them are being added.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/gofiber/fiber/v3"
	_ "github.com/google/go-cmp/cmp"
	_ "github.com/pkg/errors"
	_ "github.com/rcrowley/go-metrics"
	_ "github.com/sourcegraph/conc"
	_ "github.com/sourcegraph/conc/pool"
	_ "github.com/spf13/cobra"
	_ "github.com/tailscale/hujson"
	_ "github.com/valyala/fasthttp"
	_ "go.uber.org/goleak"
	_ "golang.org/x/time/rate"
	_ "google.golang.org/grpc"
	_ "google.golang.org/protobuf/proto"
	_ "gotest.tools/v3/assert"
	_ "pgregory.net/rapid"
)
