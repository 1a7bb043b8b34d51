#!/bin/sh
# Builds the stand-in that the scripts of cases 6 to 10 start. Run it after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
exec go build -o target/standin2 ./review/standin2
