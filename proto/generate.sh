#!/usr/bin/env bash
# Regenerates internal/rpc from the .proto files. The output is committed; the build doesn't need protoc.
set -eu
cd "$(dirname "$0")/.."
protoc -I proto --go_out=. --go_opt=module=sequoiastall --go-grpc_out=. --go-grpc_opt=module=sequoiastall proto/*.proto
