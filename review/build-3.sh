#!/bin/sh
# Builds the stand-ins of the third review. The deploy file's build comes first.
set -eu
cd "$(dirname "$0")/.."
go build -o target/standin3 ./review/standin3
