#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, into review/bin.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o review/bin/standin ./review/standin
