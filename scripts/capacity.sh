#!/bin/sh
# Measures the overhead of the control plane and updates the tables in docs/capacity-partitions.md.
# Usage: scripts/capacity.sh [DIRECTORY [NAMES]]
# The results are written to DIRECTORY (by default a new temporary directory). NAMES is a comma-separated list of the
# measurements to run, by default all. With "none", no measurement runs and the tables are made from existing results.
set -eu
cd "$(dirname "$0")/.."
directory=${1:-$(mktemp -d)}
mkdir -p "$directory"
go build -o "$directory/sequoiastall" ./cmd/sequoiastall
case "${2:-}" in
none) ;;
"") "$directory/sequoiastall" load --slopes --directory "$directory" >/dev/null ;;
*) "$directory/sequoiastall" load --slopes --directory "$directory" --only "$2" >/dev/null ;;
esac
"$directory/sequoiastall" load --tables "$directory" >"$directory/tables.md"
awk -v tables="$directory/tables.md" '
/^<!-- tables begin -->/ { print; while ((getline line < tables) > 0) print line; skip = 1 }
/^<!-- tables end -->/ { skip = 0 }
!skip { print }' docs/capacity-partitions.md >"$directory/page.md"
cp "$directory/page.md" docs/capacity-partitions.md
